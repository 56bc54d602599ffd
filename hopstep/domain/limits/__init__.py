"""Tenants' limits: rates at one router, and parts leased by one owner."""
