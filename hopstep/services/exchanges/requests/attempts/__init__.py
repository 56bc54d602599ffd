"""Attempts of a request at instances, and the relay of their responses."""
