"""Routing experiments in virtual time, with engine models without I/O."""
