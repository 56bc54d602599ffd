"""What a router does: services that join domain decisions and ports."""
