"""Sessions of callers: listener, startup, request handling and answer relay."""
