"""Implementations of the ports: HTTP, UDP, the store, logs, TLS files."""
