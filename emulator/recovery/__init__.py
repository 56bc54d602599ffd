"""Measures a small deployment under overload, and its recovery times after failures."""
