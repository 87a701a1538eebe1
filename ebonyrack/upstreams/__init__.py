"""Database groups, their upstreams and connections."""
