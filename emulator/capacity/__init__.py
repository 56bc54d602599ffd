"""Measured slopes of each mechanism, and what they add up to at the fleet's planned size."""
