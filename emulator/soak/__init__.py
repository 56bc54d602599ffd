"""Randomized soak: nodes as processes, faults from outside, promises checked by what is seen."""
