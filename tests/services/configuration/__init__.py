"""Tests of the configuration services."""
