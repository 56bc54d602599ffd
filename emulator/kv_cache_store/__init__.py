"""Stand-in for the store of kept KV cache."""
