"""Store of a session's prepared statements."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError

if TYPE_CHECKING:
    from ebonyrack.callers.chunk import Chunk
    from ebonyrack.callers.prepared import PreparedStatement

MAXIMUM_STATEMENTS = 1000
MAXIMUM_STATEMENT_BYTES = 1024 * 1024


class StatementStore:
    """Prepared statements of one session.

    Attributes:
        statements: Prepared statements by the caller's name for them.
        statement_bytes: Their total size.
    """

    __slots__ = ("statements", "statement_bytes")

    def __init__(self) -> None:
        self.statements: dict[bytes, PreparedStatement] = {}
        self.statement_bytes = 0

    def remove_closed(self, chunk: Chunk) -> None:
        """Remove the statements that a chunk has closed.

        Args:
            chunk: A chunk that has run.
        """
        for item in chunk.items:
            if item.message.kind == b"C" and item.message.targets_statement:
                self.remove(item.message.statement)

    def add_prepared(self, chunk: Chunk) -> None:
        """Add the statements that a chunk has prepared.

        Args:
            chunk: A chunk that has run, perhaps only in part.

        Raises:
            RequestError: UNSUPPORTED if a limit of the session is exceeded.
        """
        for step, name, prepared in chunk.definitions:
            if step.is_done:
                self.add(name, prepared)

    def add(self, name: bytes, prepared: PreparedStatement) -> None:
        """Add or replace a prepared statement.

        Args:
            name: The caller's name for it.
            prepared: The statement.

        Raises:
            RequestError: UNSUPPORTED if a limit of the session is exceeded.
        """
        known = self.statements.get(name)
        added_bytes = len(prepared.body) - (0 if known is None else len(known.body))
        if (
            known is None and len(self.statements) >= MAXIMUM_STATEMENTS
        ) or self.statement_bytes + added_bytes > MAXIMUM_STATEMENT_BYTES:
            reason = "the prepared statements of the session exceed their limits"
            raise RequestError(ErrorKind.UNSUPPORTED, reason)
        self.statement_bytes += added_bytes
        self.statements[name] = prepared

    def remove(self, name: bytes) -> None:
        """Remove a prepared statement if it exists.

        Args:
            name: The caller's name for it.
        """
        known = self.statements.pop(name, None)
        if known is not None:
            self.statement_bytes -= len(known.body)

    def clear(self) -> None:
        """Remove all prepared statements."""
        self.statements.clear()
        self.statement_bytes = 0
