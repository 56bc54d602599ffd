"""Emulated, rate-limited weight store."""
