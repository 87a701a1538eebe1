"""Upstreams of the database groups, their connections and what is known of them."""
