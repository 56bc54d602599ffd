"""What a node knows from the store, and how it follows and registers itself there."""
