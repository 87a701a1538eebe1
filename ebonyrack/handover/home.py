"""The side of a proxy that serves statements which other proxies hand to it.

They are served by the code that serves callers. A transaction stays here, with its
connection, until it ends, its caller was idle too long, the link to the proxy that
handed it over breaks, or this proxy shuts down.
"""

from __future__ import annotations

import asyncio

from loguru import logger
from msgspec import Struct

from ebonyrack.core import metrics
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.logs import log_decision
from ebonyrack.core.logs import log_failure
from ebonyrack.core.position import LogPosition
from ebonyrack.core.tasks import end_tasks
from ebonyrack.core.tasks import start_loop
from ebonyrack.handover.question import is_one_message
from ebonyrack.handover.row_parts import RowParts
from ebonyrack.handover.statement_messages import EndHandedTransaction
from ebonyrack.handover.statement_messages import FetchRows
from ebonyrack.handover.statement_messages import HandedAnswer
from ebonyrack.handover.statement_messages import HandedDeclined
from ebonyrack.handover.statement_messages import HandedStatement
from ebonyrack.handover.statement_messages import MoreRows
from ebonyrack.members.session_context import PreparedStatement
from ebonyrack.peers.message import Message
from ebonyrack.peers.proxy_links import ProxyLinks
from ebonyrack.requests.codec import Startup
from ebonyrack.requests.reply import Answer
from ebonyrack.requests.reply import TransactionState
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import RequestKind
from ebonyrack.serving.services import Services
from ebonyrack.serving.session import Session

CHECK_INTERVAL_S = 0.25
DRAIN_CHECK_INTERVAL_S = 0.02
# Part of the grace period that is left for the answers and the exit.
EXIT_RESERVE_S = 0.8
HANDED_KINDS = frozenset(
    {RequestKind.READ, RequestKind.WRITE, RequestKind.EXECUTE, RequestKind.COMMIT}
)

# Time in which a version reaches the proxies that reach the store. One that lacks it
# for longer may serve a key that was withdrawn, which this proxy must not do.
VERSION_SPREAD_S = 0.25


class HandedWork(Struct, eq=False):
    """A statement or a transaction of another proxy.

    Attributes:
        sender: Name of the proxy.
        session: Serves it.
        is_busy: Whether a statement is being served.
        is_ended: Whether it is to be rolled back after that statement.
    """

    sender: str
    session: Session
    is_busy: bool = False
    is_ended: bool = False

    def has_left(self) -> bool:
        """Return whether nobody waits for it any more."""
        return self.is_ended


class Home(Component):
    """Serves handed statements: an async context manager.

    Attributes:
        services: State shared with the sessions of this proxy's own callers.
        transactions: Open transactions by proxy and its number of them.
        serving: Number of statements that are being served.
        row_parts: Rows that answers had no room for.
    """

    def __init__(self, services: Services, links: ProxyLinks) -> None:
        self.services = services
        self.transactions: dict[tuple[str, int], HandedWork] = {}
        self.serving = 0
        self.row_parts = RowParts()
        self.task: asyncio.Task[None] | None = None
        links.register(HandedStatement, self.answer)
        links.register(EndHandedTransaction, self.end)
        links.register(FetchRows, self.fetch_rows)
        links.subscribe_loss(self.handle_loss)

    async def start(self) -> None:
        """Start to look for transactions whose callers are idle."""
        self.task = start_loop(self.end_idle_transactions)

    async def stop(self) -> None:
        """Roll back the open transactions."""
        await end_tasks([self.task])
        self.end_transactions(list(self.transactions), "the proxy stops")

    async def drain(self, grace_s: float) -> None:
        """Let handed work finish after a shutdown was requested.

        Open transactions may continue for the first half of the grace period, as those
        of this proxy's own callers.

        Args:
            grace_s: Seconds until the process is killed.
        """
        started_s = now_s()
        while self.transactions or self.serving:
            if now_s() > started_s + grace_s - EXIT_RESERVE_S:
                return
            if now_s() > started_s + grace_s / 2:
                self.end_transactions(self.list_idle(0.0), "the proxy shuts down")
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    async def answer(self, sender: str, question: HandedStatement) -> Message:
        """Serve a handed statement.

        Args:
            sender: Name of the proxy that handed it over.
            question: The statement.
        """
        key = (sender, question.transaction)
        work = self.transactions.get(key)
        reason = self.find_reason_to_decline(question, work)
        if reason:
            metrics.served_for_others.add(1, {"outcome": "declined"})
            log_decision(
                "statement_declined",
                request=read_log_id(question),
                front=sender,
                reason=reason,
            )
            return HandedDeclined(reason)
        if work is None:
            work = HandedWork(sender, self.build_session(question))
            work.session.context.has_left = work.has_left
            if question.transaction:
                self.transactions[key] = work
        work.is_busy = True
        self.serving += 1
        try:
            answer = await serve(work.session, question)
        except asyncio.CancelledError:
            log_failure(
                "handed_statement_given_up", request=read_log_id(question), front=sender
            )
            raise
        finally:
            work.is_busy = False
            self.serving -= 1
            if work.is_ended or work.session.state is not TransactionState.OPEN:
                work.session.close()
                self.transactions.pop(key, None)
        return self.build_answer(sender, question, work.session, answer)

    def find_reason_to_decline(
        self, question: HandedStatement, work: HandedWork | None
    ) -> str:
        """Return why nothing of a statement is run here, or an empty text."""
        if question.kind not in HANDED_KINDS:
            return f"{question.kind} is not handed over"
        if not is_one_message(question):
            return "more than one message"
        if work is not None:
            is_valid = not (work.is_busy or work.is_ended or question.begins)
            return "" if is_valid else "the transaction is in use"
        if question.transaction and not question.begins:
            return "the transaction is not open here"
        if self.services.drain.is_draining:
            return "draining"
        routes = self.services.routes
        table = routes.table
        if table.version < question.version:
            return f"older version {table.version}"
        lacks_version = question.sender_version < table.version
        if lacks_version and routes.compute_in_force_s() > VERSION_SPREAD_S:
            return f"newer version {table.version}"
        if question.account and question.account not in table.accounts:
            return f"no such account in version {table.version}"
        route = table.routes.get(question.database)
        group = self.services.groups.get(route.group) if route is not None else None
        return "no home of the group" if group is not None and not group.is_home else ""

    def build_session(self, question: HandedStatement) -> Session:
        """Build the session that serves a statement or a transaction."""
        account = self.services.routes.table.accounts.get(question.account)
        session = Session(self.services, Startup(question.database, b""), account)
        session.is_handed_over = True
        route = self.services.routes.table.routes.get(question.database)
        if route is not None and len(question.last_commit) == 2:
            session.last_commit = (route.group, LogPosition(*question.last_commit))
        return session

    def build_answer(
        self, sender: str, question: HandedStatement, session: Session, answer: Answer
    ) -> HandedAnswer:
        """Build the answer to a statement that was served, and log it."""
        error = answer.error
        outcome = str(error.kind) if error is not None else "served"
        metrics.served_for_others.add(1, {"outcome": outcome})
        log_decision(
            "statement_served_for_other",
            request=read_log_id(question),
            front=sender,
            transaction=question.transaction,
            outcome=outcome,
            reason=error.reason if error is not None else "",
        )
        rows, more_rows = self.row_parts.split(sender, answer.rows)
        commit = session.last_commit
        return HandedAnswer(
            rows=rows,
            more_rows=more_rows,
            signature=answer.signature,
            position=[commit[1].term, commit[1].offset] if commit is not None else [],
            error=str(error.kind) if error is not None else "",
            reason=error.reason if error is not None else "",
            retry_after_s=error.retry_after_s if error is not None else None,
            version=self.services.routes.table.version,
        )

    async def end(self, sender: str, message: EndHandedTransaction) -> None:
        """Roll back a transaction whose front has ended it."""
        self.end_transactions([(sender, message.transaction)], "")

    async def fetch_rows(self, sender: str, question: FetchRows) -> Message:
        """Return rows that an answer had no room for."""
        found = self.row_parts.fetch(sender, question.number)
        return MoreRows(*found) if found else HandedDeclined("no such rows")

    def handle_loss(self, proxy: str) -> None:
        """Roll back the open transactions of a proxy to which a link broke."""
        keys = [key for key in self.transactions if key[0] == proxy]
        self.end_transactions(keys, "the link to their proxy broke")

    def end_transactions(self, keys: list[tuple[str, int]], reason: str) -> None:
        """Roll back open transactions, those in use after their statement.

        Args:
            keys: Proxy and number of each.
            reason: Why, for the log; empty if that is usual.
        """
        known = [key for key in keys if key in self.transactions]
        for key in known:
            work = self.transactions[key]
            work.is_ended = True
            if not work.is_busy:
                work.session.close()
                del self.transactions[key]
        if known and reason:
            logger.bind(transactions=len(known), reason=reason).info(
                "handed_transactions_ended"
            )

    def list_idle(self, limit_s: float) -> list[tuple[str, int]]:
        """Return the transactions that have been idle for longer than a limit."""
        return [
            key
            for key, work in self.transactions.items()
            if not work.is_busy and work.session.is_idle_too_long(limit_s)
        ]

    async def end_idle_transactions(self) -> None:
        """Roll back transactions whose callers are idle too long, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            # The front ends them first, unless it was lost.
            limit_s = self.services.routes.table.transaction_idle_s + CHECK_INTERVAL_S
            self.end_transactions(self.list_idle(limit_s), "their callers were idle")


def read_log_id(question: HandedStatement) -> str:
    """Return the caller's id of a handed statement, for logs."""
    return (question.request_id or b"-").decode("ascii", "backslashreplace")


async def serve(session: Session, question: HandedStatement) -> Answer:
    """Serve a handed statement by a session, beginning its transaction if it has one.

    Args:
        session: The session.
        question: The statement.
    """
    context = session.context
    context.values = question.values
    context.waited_s = question.waited_s
    if question.prepared_text is not None:
        context.prepared = {
            question.name: PreparedStatement(
                question.prepared_text, question.prepared_writes
            )
        }
    if question.begins:
        begun = await session.answer(Request(RequestKind(question.begins)))
        if begun.error is not None:
            return begun
    return await session.answer(
        Request(
            RequestKind(question.kind),
            question.request_id,
            question.text,
            question.name,
            question.argument,
        )
    )
