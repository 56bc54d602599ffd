"""Tests, mirroring the source tree."""
