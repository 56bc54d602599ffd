"""Routed exchanges: opaque requests passed to instances of services, and their answers."""
