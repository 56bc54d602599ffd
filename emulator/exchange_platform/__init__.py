"""Stand-in of the users' platform, written from its published protocol."""
