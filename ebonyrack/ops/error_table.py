"""The table of error kinds for the operators' page."""

from __future__ import annotations

from ebonyrack.core.errors import ERROR_ANSWERS

HEADER = """\
| kind | SQLSTATE | ran | retry | closes the connection | message |
|---|---|---|---|---|---|"""


def format_error_table() -> str:
    """Write every error kind with its answer as a Markdown table.

    Returns:
        The table, one line for each kind in the order of the closed list.
    """
    lines = [HEADER]
    for kind, answer in ERROR_ANSWERS.items():
        retry = "yes" if answer.retry else "no"
        fatal = "yes" if answer.fatal else "no"
        lines.append(
            f"| `{kind}` | {answer.sqlstate} | {answer.ran} | {retry} | {fatal} |"
            f" {answer.text} |"
        )
    return "\n".join(lines)
