"""Tests of the configuration."""
