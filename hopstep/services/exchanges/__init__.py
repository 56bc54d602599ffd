"""Services that carry routed exchanges."""
