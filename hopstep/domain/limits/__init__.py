"""Limits of tenants and instances: rates, leased parts, quotas and send permits."""
