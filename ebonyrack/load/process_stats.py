"""Reads processor time and memory of another process from /proc."""

from __future__ import annotations

import os
from pathlib import Path

KIB = 1024


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process.

    Args:
        pid: Process ID.
    """
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIB
    return 0


def read_processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds.

    Args:
        pid: Process ID.
    """
    # Fields after the name, which is in parentheses and may contain spaces.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")
