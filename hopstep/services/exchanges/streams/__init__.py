"""Remembers what began each stream, over nodes and restarts, so that a resume fits it."""
