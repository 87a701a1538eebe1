"""Decisions on placement, waiting, connection shares and promotion, without I/O."""
