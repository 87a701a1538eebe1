"""Stand-ins for a database group and the platform."""
