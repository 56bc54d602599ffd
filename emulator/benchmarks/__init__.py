"""Speed of the router by real processes on loopback."""
