"""Readable or JSON output of the operators' tool."""

from __future__ import annotations

import json
import os
import sys

from ebonyrack.ops.exit_status import ExitStatus


class Output:
    """Prints what a command found.

    Attributes:
        is_json: Whether one JSON value is printed in place of text.
        is_closed: Whether the reader of standard output went away before the end.
    """

    __slots__ = ("is_json", "is_closed")

    def __init__(self, is_json: bool) -> None:
        self.is_json = is_json
        self.is_closed = False

    def show(self, report: object, text: str) -> None:
        """Print the result on standard output.

        Args:
            report: What `--json` prints.
            text: What is printed otherwise.
        """
        if self.is_json:
            text = json.dumps(report, indent=2, default=str)
        try:
            print(text, flush=True)
        except BrokenPipeError:
            self.is_closed = True
            discard_output()

    def note(self, text: str) -> None:
        """Print a remark on standard error."""
        print(text, file=sys.stderr)

    def choose_status(self, status: ExitStatus) -> ExitStatus:
        """Return the status to end with.

        Args:
            status: What came of the command. Anything but OK says more than that the
                reader went away, so it stays.
        """
        if self.is_closed and status == ExitStatus.OK:
            return ExitStatus.OUTPUT_CLOSED
        return status


def discard_output() -> None:
    """Let standard output lead nowhere, so that the flush at the exit succeeds."""
    nowhere = os.open(os.devnull, os.O_WRONLY)
    os.dup2(nowhere, sys.stdout.fileno())
    os.close(nowhere)
