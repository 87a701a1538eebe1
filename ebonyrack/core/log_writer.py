"""Writes log lines to standard output without ever blocking the process."""

from __future__ import annotations

import json
import os
import sys
import threading
from collections import deque

# Lines that are queued while the reader of the pipe is slow; more are dropped and
# counted.
MAXIMUM_LINES = 5000
# Lines queued within this time are written in one batch, in seconds.
BATCH_S = 0.05


class LogWriter:
    """A bounded queue of lines and the thread that writes them.

    Attributes:
        descriptor: File descriptor to write to.
        lines: Queued lines.
        dropped: Lines dropped since the last report because the queue was full.
        has_lines: Wakes the thread.
        stop_requested: Set when the thread should end once all lines are written.
        thread: Writes the lines.
    """

    __slots__ = (
        "descriptor",
        "lines",
        "dropped",
        "has_lines",
        "stop_requested",
        "thread",
    )

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: deque[str] = deque()
        self.dropped = 0
        self.has_lines = threading.Event()
        self.stop_requested = threading.Event()
        self.thread = threading.Thread(target=self.write_forever, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self, limit_s: float) -> None:
        """Write the queued lines, for a limited time.

        Args:
            limit_s: Seconds after which the remaining lines are abandoned.
        """
        self.stop_requested.set()
        self.has_lines.set()
        self.thread.join(limit_s)

    def put(self, line: str) -> None:
        """Queue a line; if the queue is full, it is dropped and counted."""
        if len(self.lines) >= MAXIMUM_LINES:
            self.dropped += 1
            return
        self.lines.append(line)
        if not self.has_lines.is_set():
            self.has_lines.set()

    def write_forever(self) -> None:
        """Write queued lines until stopped (runs in the thread)."""
        while True:
            self.has_lines.wait()
            if not self.stop_requested.wait(BATCH_S):
                self.has_lines.clear()
            self.write_queued()
            if self.stop_requested.is_set() and not self.lines:
                return

    def write_queued(self) -> None:
        """Write the lines queued now, and how many were dropped."""
        count = len(self.lines)
        batch = [self.lines.popleft() for _ in range(count)]
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            batch.append(json.dumps({"event": "log_lines_dropped", "count": dropped}))
        if not batch:
            return
        data = ("\n".join(batch) + "\n").encode()
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except BlockingIOError:
                self.stop_requested.wait(BATCH_S)
            except OSError:
                # The reader is gone, and there is no other place to report it.
                return


def build_standard_writer() -> LogWriter:
    """Build the writer to standard output."""
    return LogWriter(sys.stdout.fileno())
