"""Interface by which sessions have their work served at another proxy."""

from __future__ import annotations

from typing import Protocol

from ebonyrack.core.position import LogPosition
from ebonyrack.limits.admission import Admission
from ebonyrack.members.group import Group
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.reply import TransactionState
from ebonyrack.routes.route import Route
from ebonyrack.serving.statement import Statement


class Transaction(Protocol):
    """A caller's transaction, at an upstream of this proxy or at another proxy.

    Attributes:
        route: Route at its beginning.
        group: Its database group.
        admission: Permission under the limit of the client account.
        has_written: Whether a write was sent.
        is_failed: Whether it can only be rolled back.
        used_at_s: Monotonic time of its last statement.
    """

    route: Route
    group: Group
    admission: Admission
    has_written: bool
    is_failed: bool
    used_at_s: float

    @property
    def state(self) -> TransactionState:
        """Transaction state as reported to the caller."""

    def fail(self) -> None:
        """Release the connection; the transaction can only be rolled back."""

    def release(self) -> None:
        """Release the connection; an open transaction is rolled back first."""

    async def execute(self, statement: Statement) -> Reply:
        """Run a read or write of the transaction."""

    async def commit(self, statement: Statement) -> Reply:
        """Commit."""


class RemoteServing(Protocol):
    """Serves work at the proxies that hold a group's connections."""

    async def serve_statement(
        self, statement: Statement, last_commit: LogPosition | None
    ) -> Reply:
        """Serve a statement outside a transaction.

        Args:
            statement: The statement.
            last_commit: Position of the session's newest commit, or None.

        Returns:
            The reply, without a rejection.

        Raises:
            RequestError: If it can't be served.
        """

    def begin_transaction(
        self,
        route: Route,
        group: Group,
        is_read_only: bool,
        last_commit: LogPosition | None,
        admission: Admission,
    ) -> Transaction:
        """Begin a transaction, which is sent with its first statement."""
