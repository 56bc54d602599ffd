"""Streams over all of their attempts: what must stay the same when one goes on elsewhere."""
