"""Tests of the limits."""
