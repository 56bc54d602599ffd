"""Tests of routing decisions."""
