"""Writes log lines to standard output without ever holding up the process."""

from __future__ import annotations

import json
import os
import sys
import threading
from collections import deque

# Lines that wait while the reader of the pipe is slow; more are dropped and counted.
MAXIMUM_LINES = 5000
# Lines that come within this time are written in one go, in seconds.
GATHER_S = 0.05


class LogWriter:
    """A bounded queue of lines and the thread that writes them.

    Attributes:
        descriptor: File descriptor that is written to.
        lines: Lines that wait.
        dropped: Lines that found no room since the last report.
        has_lines: Wakes the thread.
        has_stopped: Whether the thread should end once all is written.
        thread: Writes the lines.
    """

    __slots__ = (
        "descriptor",
        "lines",
        "dropped",
        "has_lines",
        "has_stopped",
        "thread",
    )

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: deque[str] = deque()
        self.dropped = 0
        self.has_lines = threading.Event()
        self.has_stopped = threading.Event()
        self.thread = threading.Thread(target=self.write_forever, daemon=True)

    def start(self) -> None:
        """Start to write."""
        self.thread.start()

    def stop(self, limit_s: float) -> None:
        """Write what waits, for a limited time.

        Args:
            limit_s: Seconds after which the rest is given up.
        """
        self.has_stopped.set()
        self.has_lines.set()
        self.thread.join(limit_s)

    def put(self, line: str) -> None:
        """Queue a line; without room it is dropped and counted."""
        if len(self.lines) >= MAXIMUM_LINES:
            self.dropped += 1
            return
        self.lines.append(line)
        if not self.has_lines.is_set():
            self.has_lines.set()

    def write_forever(self) -> None:
        """Write lines as they come (runs in the thread)."""
        while True:
            self.has_lines.wait()
            if not self.has_stopped.wait(GATHER_S):
                self.has_lines.clear()
            self.write_waiting()
            if self.has_stopped.is_set() and not self.lines:
                return

    def write_waiting(self) -> None:
        """Write the lines that wait now, and how many were dropped."""
        count = len(self.lines)
        parts = [self.lines.popleft() for _ in range(count)]
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            parts.append(json.dumps({"event": "log_lines_dropped", "count": dropped}))
        if not parts:
            return
        data = ("\n".join(parts) + "\n").encode()
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except BlockingIOError:
                self.has_stopped.wait(GATHER_S)
            except OSError:
                # Nobody reads any more, and there is no other place to say so.
                return


def build_standard_writer() -> LogWriter:
    """Build the writer to standard output."""
    return LogWriter(sys.stdout.fileno())
