"""A caller's transaction that runs at a home of its group.

It is sent with its first statement and stays at the home that took that until its end.
If no home takes it, it runs at an upstream of this proxy.
"""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

from ebonyrack.core import metrics
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LogPosition
from ebonyrack.handover.asking import NoAnswer
from ebonyrack.handover.question import LATE_ANSWER_S
from ebonyrack.handover.question import MAXIMUM_HOMES
from ebonyrack.handover.question import TransactionStep
from ebonyrack.handover.question import is_served_elsewhere
from ebonyrack.handover.question import read_answer
from ebonyrack.handover.statement_messages import EndHandedTransaction
from ebonyrack.handover.statement_messages import HandedAnswer
from ebonyrack.limits.admission import Admission
from ebonyrack.members.group import Group
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.reply import TransactionState
from ebonyrack.requests.request import RequestKind
from ebonyrack.routes.route import Route
from ebonyrack.serving.statement import Statement
from ebonyrack.serving.transaction import CallerTransaction

if TYPE_CHECKING:
    from ebonyrack.handover.front import Front

NUMBER_BITS = 48
# A restarted proxy must not use the numbers of transactions that homes still know.
numbers = itertools.count(random.getrandbits(NUMBER_BITS))


class RemoteTransaction:
    """One transaction of a caller, at a home.

    Attributes:
        front: Hands statements over.
        route: Route at its beginning.
        group: Its database group.
        is_read_only: Whether it may not write.
        last_commit: Position of the session's newest commit at its beginning, or None.
        admission: Permission under the limit of the client account, if no home takes
            it.
        number: Number by which the home knows it.
        home: The home at which it is open, or None.
        local: The transaction at an upstream of this proxy, if no home took it.
        has_written: Whether a write was sent.
        is_failed: Whether it can only be rolled back.
        used_at_s: Monotonic time of its last statement.
    """

    __slots__ = (
        "front",
        "route",
        "group",
        "is_read_only",
        "last_commit",
        "admission",
        "number",
        "home",
        "local",
        "has_written",
        "is_failed",
        "used_at_s",
    )

    def __init__(
        self,
        front: Front,
        route: Route,
        group: Group,
        is_read_only: bool,
        last_commit: LogPosition | None,
        admission: Admission,
    ) -> None:
        self.front = front
        self.route = route
        self.group = group
        self.is_read_only = is_read_only
        self.last_commit = last_commit
        self.admission = admission
        self.number = next(numbers)
        self.home: str | None = None
        self.local: CallerTransaction | None = None
        self.has_written = False
        self.is_failed = False
        self.used_at_s = now_s()

    @property
    def state(self) -> TransactionState:
        """Transaction state as reported to the caller."""
        return TransactionState.FAILED if self.is_failed else TransactionState.OPEN

    def fail(self) -> None:
        """Roll back at the home; the transaction can only be rolled back."""
        self.is_failed = True
        self.release()

    def release(self) -> None:
        """Roll back an open transaction at the home."""
        home, self.home = self.home, None
        if home is not None:
            self.front.asker.links.tell(home, EndHandedTransaction(self.number))
        if self.local is not None:
            self.local.release()

    async def execute(self, statement: Statement) -> Reply:
        """Run a read or write of the transaction.

        Args:
            statement: The statement.

        Returns:
            The reply, without a rejection.

        Raises:
            RequestError: If it failed; the transaction is rolled back then.
        """
        if statement.writes and self.is_read_only:
            raise RequestError(ErrorKind.READ_ONLY_TRANSACTION)
        if self.home is None and self.local is None:
            reply = await self.begin(statement)
        else:
            reply = await self.run_next(statement)
        self.used_at_s = now_s()
        self.has_written = self.has_written or statement.writes
        return reply

    async def commit(self, statement: Statement) -> Reply:
        """Commit.

        Args:
            statement: The commit.

        Returns:
            The reply, without a rejection.

        Raises:
            RequestError: UPSTREAM_LOST if nothing was committed, OUTCOME_UNKNOWN if
                that isn't known.
        """
        if self.home is None and self.local is None:
            return await self.begin(statement)
        return await self.run_next(statement)

    async def begin(self, statement: Statement) -> Reply:
        """Begin at a home, or here, and run the first statement there."""
        kind = RequestKind.BEGIN_READ_ONLY if self.is_read_only else RequestKind.BEGIN
        step = TransactionStep(self.number, kind)
        for number, home in enumerate(self.front.list_homes(statement), start=1):
            self.home = home
            answer = await self.ask(statement, step)
            if isinstance(answer, HandedAnswer):
                if is_served_elsewhere(answer) and number < MAXIMUM_HOMES:
                    continue
                return self.read(statement, answer)
            if answer.may_have_run:
                raise self.build_lost(statement, answer)
            statement.check_deadline(was_sent=False)
        self.home = None
        metrics.handed_over.add(1, {"outcome": "served_here"})
        self.local = CallerTransaction(
            self.route,
            self.group,
            self.is_read_only,
            self.last_commit,
            self.admission,
        )
        return await self.run_local(statement, self.local)

    async def run_next(self, statement: Statement) -> Reply:
        """Run a later statement where the transaction is open."""
        if self.local is not None:
            return await self.run_local(statement, self.local)
        answer = await self.ask(statement, TransactionStep(self.number))
        if isinstance(answer, NoAnswer):
            raise self.build_lost(statement, answer)
        return self.read(statement, answer)

    async def run_local(self, statement: Statement, local: CallerTransaction) -> Reply:
        """Run a statement at an upstream of this proxy."""
        if statement.request.kind is RequestKind.COMMIT:
            return await local.commit(statement)
        return await local.execute(statement)

    async def ask(
        self, statement: Statement, step: TransactionStep
    ) -> HandedAnswer | NoAnswer:
        """Hand a statement to the home of the transaction."""
        assert self.home is not None
        timeout_s = max(0.0, statement.remaining_s) + LATE_ANSWER_S
        return await self.front.ask(
            self.home, statement, self.last_commit, step, timeout_s
        )

    def read(self, statement: Statement, answer: HandedAnswer) -> Reply:
        """Return the reply in the home's answer; a home ends what has failed."""
        if answer.error or statement.request.kind is RequestKind.COMMIT:
            self.home = None
        return read_answer(answer)

    def build_lost(self, statement: Statement, lost: NoAnswer) -> RequestError:
        """Build the error for a statement without an answer; the home rolls back."""
        is_commit = statement.request.kind is RequestKind.COMMIT
        if is_commit and lost.may_have_run:
            # It must not be rolled back while it may be committing.
            self.home = None
            if self.has_written:
                return RequestError(ErrorKind.OUTCOME_UNKNOWN, lost.reason)
        return RequestError(ErrorKind.UPSTREAM_LOST, f"rolled back: {lost.reason}")
