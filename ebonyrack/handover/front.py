"""The side of a proxy that hands its callers' work to the homes of a group.

A statement that wasn't sent, or that a home didn't run, goes to another home once and
is then served here. A read without an answer goes elsewhere; the outcome of a write
without an answer is unknown.
"""

from __future__ import annotations

from ebonyrack.core import metrics
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.logs import log_decision
from ebonyrack.core.logs import log_failure
from ebonyrack.core.position import LogPosition
from ebonyrack.handover.asking import HomeAsker
from ebonyrack.handover.asking import NoAnswer
from ebonyrack.handover.question import LATE_ANSWER_S
from ebonyrack.handover.question import MAXIMUM_HOMES
from ebonyrack.handover.question import MAXIMUM_QUESTION_BYTES
from ebonyrack.handover.question import OUTSIDE
from ebonyrack.handover.question import TransactionStep
from ebonyrack.handover.question import build_question
from ebonyrack.handover.question import is_served_elsewhere
from ebonyrack.handover.question import measure_question
from ebonyrack.handover.question import name_outcome
from ebonyrack.handover.question import read_answer
from ebonyrack.handover.remote_transaction import RemoteTransaction
from ebonyrack.handover.statement_messages import HandedAnswer
from ebonyrack.limits.admission import Admission
from ebonyrack.members.group import Group
from ebonyrack.requests.reply import Reply
from ebonyrack.routes.route import Route
from ebonyrack.routes.state import RouteState
from ebonyrack.serving.reading import serve_read
from ebonyrack.serving.statement import Statement
from ebonyrack.serving.writing import serve_write

# A read waits at least this long for the first home before another one is asked.
MINIMUM_READ_WAIT_S = 0.3


class Front:
    """Hands statements and transactions to homes.

    Attributes:
        asker: Asks the homes.
        routes: Routes in force.
    """

    __slots__ = ("asker", "routes")

    def __init__(self, asker: HomeAsker, routes: RouteState) -> None:
        self.asker = asker
        self.routes = routes

    async def serve_statement(
        self, statement: Statement, last_commit: LogPosition | None
    ) -> Reply:
        """Serve a statement outside a transaction at a home, or here without one."""
        for number, home in enumerate(self.list_homes(statement)):
            answer = await self.ask(
                home,
                statement,
                last_commit,
                OUTSIDE,
                self.choose_timeout(statement, is_first=number == 0),
            )
            is_last = number + 1 == MAXIMUM_HOMES
            if isinstance(answer, HandedAnswer):
                if is_served_elsewhere(answer) and not is_last:
                    continue
                return read_answer(answer)
            if answer.may_have_run and statement.writes:
                raise RequestError(ErrorKind.OUTCOME_UNKNOWN, answer.reason)
            statement.check_deadline(answer.may_have_run)
        metrics.handed_over.add(1, {"outcome": "served_here"})
        if statement.writes:
            return await serve_write(statement)
        return await serve_read(statement, last_commit)

    def begin_transaction(
        self,
        route: Route,
        group: Group,
        is_read_only: bool,
        last_commit: LogPosition | None,
        admission: Admission,
    ) -> RemoteTransaction:
        """Begin a transaction, which is sent with its first statement."""
        return RemoteTransaction(
            self, route, group, is_read_only, last_commit, admission
        )

    def list_homes(self, statement: Statement) -> list[str]:
        """Return the homes that a statement is handed to, the first one first."""
        return self.asker.list_homes(statement.group)[:MAXIMUM_HOMES]

    def choose_timeout(self, statement: Statement, is_first: bool) -> float:
        """Return how long to wait for a home, in seconds.

        Args:
            statement: A statement outside a transaction.
            is_first: Whether another home can be asked afterwards.
        """
        if statement.writes or not is_first:
            return max(0.0, statement.remaining_s) + LATE_ANSWER_S
        return max(MINIMUM_READ_WAIT_S, statement.remaining_s / 2)

    async def ask(
        self,
        home: str,
        statement: Statement,
        last_commit: LogPosition | None,
        step: TransactionStep,
        timeout_s: float,
    ) -> HandedAnswer | NoAnswer:
        """Hand a statement to a home and log the outcome.

        Args:
            home: Name of the home.
            statement: The statement.
            last_commit: Position of the session's newest commit, or None.
            step: The transaction to which it belongs.
            timeout_s: Seconds to wait for the answer.
        """
        question = build_question(
            statement,
            last_commit,
            step,
            self.choose_version(),
            self.routes.table.version,
        )
        if measure_question(question) > MAXIMUM_QUESTION_BYTES:
            answer: HandedAnswer | NoAnswer = NoAnswer(False, "too large to hand over")
        else:
            answer = await self.asker.ask(home, question, timeout_s)
        outcome, log = name_outcome(answer), log_decision
        if isinstance(answer, NoAnswer):
            log = log_failure
        metrics.handed_over.add(1, {"outcome": outcome})
        log(
            "statement_handed_over",
            request=statement.request.log_id,
            group=statement.group.name,
            home=home,
            transaction=step.number,
            outcome=outcome,
            reason=answer.reason,
            elapsed_s=round(statement.elapsed_s, 4),
        )
        return answer

    def choose_version(self) -> int:
        """Return the version of the routes that a home must have at least."""
        return max(self.routes.table.version, self.asker.newest_version)
