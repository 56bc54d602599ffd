"""Choice of the engine for a request: prefix index, engine views, costs."""
