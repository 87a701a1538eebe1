"""Clients of the platform's key-value stores and VM list."""
