"""Cluster simulation: the real services of several routers under faults, checked by an oracle."""
