"""The users' platform: names, formats and calls of its wire. Nothing here decides."""
