"""Routed exchanges: opaque HTTP requests passed to instances of services, and the responses."""
