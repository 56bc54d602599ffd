"""Stand-ins for the platform: the key-value service and the machine list."""
