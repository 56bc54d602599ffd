"""From the first byte of a request to its admission."""
