"""Keeps the configuration in force, and submits changes to it."""
