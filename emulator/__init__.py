"""Emulated engines and platform services, load generators and experiments."""
