"""Placement of reads and writes, admission and idempotency."""
