"""The table of error kinds in the operators' documentation."""

from __future__ import annotations

from ebonyrack.core.errors import ERROR_ANSWERS

HEADER = """\
| kind | SQLSTATE | ran | retry | closes the connection | message |
|---|---|---|---|---|---|"""


def format_error_table() -> str:
    """Format the error kinds and their replies as a Markdown table.

    Returns:
        The table, with a row for each kind in the order of their definition.
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
