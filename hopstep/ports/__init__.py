"""Abstract interfaces to everything outside the process."""
