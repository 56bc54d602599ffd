"""Command entry points."""
