"""Reaching instances over this node's own links, or through other nodes."""
