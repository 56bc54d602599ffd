"""Ports carried by libraries: HTTP, UDP, the store, logs."""
