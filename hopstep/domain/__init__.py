"""Pure decisions: no network, no clock, no randomness of its own."""
