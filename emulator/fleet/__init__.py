"""Fleets of real processes on loopback, for the demo, the benchmarks and tests."""
