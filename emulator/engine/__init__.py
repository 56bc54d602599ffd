"""Stand-in for an inference engine: one pure model, served in process and over HTTP."""
