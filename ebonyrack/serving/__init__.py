"""Sessions of callers over protocol-neutral requests: reads, writes, transactions."""
