"""SQL errors of the stand-in with their SQLSTATE."""

from __future__ import annotations

import sqlite3

CONSTRAINTS = {
    "UNIQUE": "23505",
    "NOT NULL": "23502",
    "FOREIGN KEY": "23503",
    "CHECK": "23514",
}
PATTERNS = (
    ("no such table", "42P01"),
    ("no such column", "42703"),
    ("already exists", "42P07"),
    ("no such function", "42883"),
    ("syntax error", "42601"),
    ("incomplete input", "42601"),
    ("no such savepoint", "3B001"),
)


class SqlError(Exception):
    """Raised when a statement fails.

    Attributes:
        sqlstate: Five-character code.
        text: The error message.
        fatal: Whether the error ends the connection.
    """

    def __init__(self, sqlstate: str, text: str, fatal: bool = False) -> None:
        super().__init__(f"{sqlstate}: {text}")
        self.sqlstate = sqlstate
        self.text = text
        self.fatal = fatal

    def build_fields(self) -> dict[str, str]:
        """Build the fields of an ErrorResponse."""
        severity = "FATAL" if self.fatal else "ERROR"
        return {"S": severity, "V": severity, "C": self.sqlstate, "M": self.text}


def translate_error(error: Exception) -> SqlError:
    """Translate an engine error to an SQL error.

    Args:
        error: Error raised by sqlite3.

    Returns:
        The error with its SQLSTATE.
    """
    text = str(error)
    if isinstance(error, sqlite3.IntegrityError):
        for word, sqlstate in CONSTRAINTS.items():
            if text.startswith(word):
                return SqlError(sqlstate, text)
        return SqlError("23000", text)
    if isinstance(error, OverflowError):
        return SqlError("22003", text)
    for pattern, sqlstate in PATTERNS:
        if pattern in text:
            return SqlError(sqlstate, text)
    if isinstance(error, sqlite3.ProgrammingError):
        return SqlError("08P01", text)
    return SqlError("XX000", text)
