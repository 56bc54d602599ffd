"""Tests of request handling."""
