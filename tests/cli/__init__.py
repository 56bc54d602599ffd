"""Tests of the command entry points."""
