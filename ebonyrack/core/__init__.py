"""Basic records and services that every other package may import."""
