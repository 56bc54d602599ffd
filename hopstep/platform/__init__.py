"""Adapters to the users' platform: names, formats and calls of its protocols, without policy."""
