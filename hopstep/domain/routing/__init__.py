"""Choice of the engine for a request: cache picture, engine views, costs."""
