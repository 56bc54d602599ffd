"""Keeps requests that end instances from them; both request paths use it."""
