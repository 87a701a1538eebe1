"""Handing statements and transactions to the proxies that are a group's homes."""
