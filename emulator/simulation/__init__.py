"""A whole cluster in virtual time: the real services of several routers over emulated ports."""
