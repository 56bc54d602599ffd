"""Quarantine of requests that terminate the instances which run them."""
