"""A simulated cluster in virtual time: real services of several routers over emulated ports."""
