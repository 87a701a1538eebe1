"""The callers' side: listener, startup, sessions and the relay of answers."""
