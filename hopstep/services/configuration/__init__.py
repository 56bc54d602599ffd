"""Holds the configuration in force, synchronizes it, and submits changes to it."""
