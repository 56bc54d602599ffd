"""Benchmarks of the router's speed, with real processes on loopback."""
