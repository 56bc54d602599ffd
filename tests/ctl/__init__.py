"""Tests of hopstep.ctl."""
