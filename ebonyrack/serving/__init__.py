"""Callers' sessions on protocol-neutral requests: reads, writes, transactions."""
