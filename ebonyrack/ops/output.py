"""Text or JSON output of the operators' tool."""

from __future__ import annotations

import json
import os
import sys

from ebonyrack.ops.exit_status import ExitStatus


class Output:
    """Prints the results of a command.

    Attributes:
        is_json: Whether a JSON value is printed instead of text.
        is_closed: Whether the reader closed standard output early.
    """

    __slots__ = ("is_json", "is_closed")

    def __init__(self, is_json: bool) -> None:
        self.is_json = is_json
        self.is_closed = False

    def print_result(self, report: object, text: str) -> None:
        """Print the result on standard output.

        Args:
            report: The value printed with `--json`.
            text: The text printed otherwise.
        """
        if self.is_json:
            text = json.dumps(report, indent=2, default=str)
        try:
            print(text, flush=True)
        except BrokenPipeError:
            self.is_closed = True
            discard_output()

    def print_note(self, text: str) -> None:
        """Print a note on standard error."""
        print(text, file=sys.stderr)

    def choose_status(self, status: ExitStatus) -> ExitStatus:
        """Return the exit status; OUTPUT_CLOSED replaces only OK.

        Args:
            status: Status of the command. A status other than OK is more specific
                than the closed output, so it is kept.
        """
        if self.is_closed and status == ExitStatus.OK:
            return ExitStatus.OUTPUT_CLOSED
        return status


def discard_output() -> None:
    """Redirect standard output to the null device, so the flush at exit succeeds."""
    null_device = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null_device, sys.stdout.fileno())
    os.close(null_device)
