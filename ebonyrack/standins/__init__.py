"""Stand-ins for database groups and the platform, used in tests and experiments."""
