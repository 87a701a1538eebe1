"""Small stand-ins of the users' platform, from the standard library alone."""
