"""Tests of the emulator."""
