"""The node's view of the store's directory: reading, following and registering in it."""
