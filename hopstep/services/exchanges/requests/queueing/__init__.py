"""Requests that wait at this node."""
