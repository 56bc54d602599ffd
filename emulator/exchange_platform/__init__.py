"""Stand-in for the users' platform, written from its published protocol."""
