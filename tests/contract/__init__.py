"""Contracts of the ports, run against every implementation."""
