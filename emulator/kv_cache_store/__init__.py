"""Emulated KV cache store."""
