"""Requests and answers, apart from the protocols that carry them."""
