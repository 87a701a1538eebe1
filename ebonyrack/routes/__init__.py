"""Which database leads to which group, and what its callers may expect."""
