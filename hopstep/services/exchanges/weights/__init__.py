"""Rollout of named weights to engines, under a lease."""
