"""Decisions on placing, waiting, shares and succession, without input or output."""
