"""Readable or JSON output of the operators' tool."""

from __future__ import annotations

import json
import sys


class Output:
    """Prints what a command found.

    Attributes:
        is_json: Whether one JSON value is printed in place of text.
    """

    __slots__ = ("is_json",)

    def __init__(self, is_json: bool) -> None:
        self.is_json = is_json

    def show(self, report: object, text: str) -> None:
        """Print the result on standard output.

        Args:
            report: What `--json` prints.
            text: What is printed otherwise.
        """
        print(json.dumps(report, indent=2, default=str) if self.is_json else text)

    def note(self, text: str) -> None:
        """Print a remark on standard error."""
        print(text, file=sys.stderr)
