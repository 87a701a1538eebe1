"""Requests and replies, independent of the protocols that carry them."""
