"""Routing experiments in virtual time over the pure engine model."""
