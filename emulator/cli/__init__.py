"""Command entry points of the emulator."""
