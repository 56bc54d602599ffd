"""Tests of the adapters."""
