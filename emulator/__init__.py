"""Stand-ins for engines and the platform, load, experiments."""
