"""Tests of the routing experiments."""
