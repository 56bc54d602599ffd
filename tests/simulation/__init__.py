"""The cluster simulation: the real services of several routers under faults, by an oracle."""
