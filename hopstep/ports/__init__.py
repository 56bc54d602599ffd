"""Abstract interfaces to systems outside the process."""
