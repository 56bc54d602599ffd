"""Tests of the membership protocol."""
