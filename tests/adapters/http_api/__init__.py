"""Tests of the HTTP API."""
