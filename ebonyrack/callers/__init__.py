"""The callers' side: listener, sessions and statements."""
