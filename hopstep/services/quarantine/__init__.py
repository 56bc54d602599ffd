"""Refuses requests that crash instances; both request paths use this package."""
