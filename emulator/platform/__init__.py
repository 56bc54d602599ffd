"""Stand-ins for the platform's key-value service and machine list."""
