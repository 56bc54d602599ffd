"""Tests of hopstep.domain."""
