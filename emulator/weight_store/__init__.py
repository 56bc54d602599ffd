"""Stand-in for the rate-limited weight store."""
