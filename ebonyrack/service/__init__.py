"""The proxy process: its components, shutdown and operator commands."""
