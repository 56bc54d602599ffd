"""Stand-in for an inference engine: one pure model, available in process and over HTTP."""
