"""Randomized soak: nodes run as processes under injected faults, and observations are checked."""
