"""Tests of hopstep.services."""
