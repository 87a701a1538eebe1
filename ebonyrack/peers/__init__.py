"""Links and membership between the proxies."""
