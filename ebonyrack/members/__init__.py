"""Upstreams of the database groups: connections, health and primary."""
