"""Which instances this node reaches over its own links, and which through other nodes."""
