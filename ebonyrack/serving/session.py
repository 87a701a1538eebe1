"""A caller's session, which serves one request at a time."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger
from result import Err

from ebonyrack.core import metrics
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.logs import log_failure
from ebonyrack.core.position import LogPosition
from ebonyrack.core.registry import Registry
from ebonyrack.limits.admission import Admission
from ebonyrack.members.group import Group
from ebonyrack.members.session_context import PreparedStatement
from ebonyrack.members.session_context import SessionContext
from ebonyrack.requests.codec import Startup
from ebonyrack.requests.reply import Answer
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.reply import TransactionState
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import RequestKind
from ebonyrack.routes.account import ANONYMOUS
from ebonyrack.routes.account import ClientAccount
from ebonyrack.routes.withdrawal import SessionIdentity
from ebonyrack.routes.withdrawal import find_withdrawal
from ebonyrack.serving.reading import serve_read
from ebonyrack.serving.remote import RemoteServing
from ebonyrack.serving.remote import Transaction
from ebonyrack.serving.services import Services
from ebonyrack.serving.statement import Statement
from ebonyrack.serving.statement import build_statement
from ebonyrack.serving.transaction import CallerTransaction
from ebonyrack.serving.writing import serve_write

RequestHandler = Callable[["Session", Request], Awaitable[Answer]]

# Handler by kind of request.
REQUEST_HANDLERS: Registry[RequestHandler] = Registry("kind of request")


class Session:
    """One caller's session.

    Attributes:
        services: Parts of the proxy that all sessions share.
        identity: On whose behalf the session was opened.
        context: The caller's session values and prepared statements.
        last_commit: Group and position of the session's newest commit, or None.
        transaction: The open transaction, or None.
        is_handed_over: Whether another proxy, which has checked the caller's key,
            handed the work to this one. It isn't handed on.
    """

    __slots__ = (
        "services",
        "identity",
        "context",
        "last_commit",
        "transaction",
        "is_handed_over",
    )

    def __init__(
        self, services: Services, startup: Startup, account: ClientAccount | None
    ) -> None:
        self.services = services
        name = account.name if account is not None else ANONYMOUS
        self.identity = SessionIdentity(startup.database, startup.key_digest, name)
        self.context = SessionContext(account=name)
        self.last_commit: tuple[str, LogPosition] | None = None
        self.transaction: Transaction | None = None
        self.is_handed_over = False

    @property
    def database(self) -> bytes:
        """Name of the database that the caller requested."""
        return self.identity.database

    @property
    def state(self) -> TransactionState:
        """Transaction state as reported to the caller."""
        if self.transaction is None:
            return TransactionState.IDLE
        return self.transaction.state

    async def answer(self, request: Request) -> Answer:
        """Serve one request.

        Args:
            request: The request.

        Returns:
            The answer, also to a request that fails.
        """
        started_s = now_s()
        try:
            handle = REQUEST_HANDLERS.get(request.kind)
            self.check_account()
            self.check_state(request.kind)
            answer = await handle(self, request)
        except RequestError as error:
            if self.transaction is not None:
                self.transaction.fail()
            answer = Answer(self.state, error=error)
        elapsed_s = now_s() - started_s
        self.record_answer(request, answer, elapsed_s)
        return answer

    def find_withdrawal(self) -> str | None:
        """Return why the session may run no further work, or None if it may."""
        if self.is_handed_over:
            # The proxy of the caller has checked the key, which doesn't travel.
            return self.find_account_removal()
        return find_withdrawal(self.services.routes.table, self.identity)

    def find_account_removal(self) -> str | None:
        """Return why the account may run no further work, or None if it may."""
        table, account = self.services.routes.table, self.identity.account
        if account == ANONYMOUS or account in table.accounts:
            return None
        return f"no such account in version {table.version}"

    def check_account(self) -> ClientAccount | None:
        """Return the client account as it is in force, or None if anonymous.

        Raises:
            RequestError: UNKNOWN_ACCOUNT if the session may run no further work.
        """
        reason = self.find_withdrawal()
        if reason is not None:
            raise RequestError(ErrorKind.UNKNOWN_ACCOUNT, reason)
        return self.services.routes.table.accounts.get(self.identity.account)

    async def admit(self) -> Admission:
        """Admit one operation under the limit of the client account.

        Raises:
            RequestError: RATE_LIMITED if it must not run now.
        """
        account = self.services.routes.table.accounts.get(self.identity.account)
        if account is None or self.services.limiter is None:
            return Admission()
        result = await self.services.limiter.admit(account)
        if isinstance(result, Err):
            rejection = result.err_value
            raise RequestError(
                ErrorKind.RATE_LIMITED, rejection.reason, rejection.retry_after_s
            )
        return result.ok_value

    def defer_admission(self) -> Admission:
        """Return the admission of an operation that another proxy is to serve.

        The proxy that sends it to an upstream admits it; if that is this one after all,
        it does so just before the sending.
        """
        limiter = self.services.limiter
        if limiter is None or self.identity.account == ANONYMOUS:
            return Admission()
        return Admission(limiter, self.identity.account)

    def check_state(self, kind: RequestKind) -> None:
        """Reject a request that the state of the transaction doesn't allow.

        Raises:
            RequestError: TRANSACTION_FAILED or BAD_REQUEST.
        """
        ends = kind in (RequestKind.COMMIT, RequestKind.ROLLBACK)
        if self.transaction is None:
            if ends:
                raise RequestError(ErrorKind.BAD_REQUEST, "no transaction is open")
        elif kind in (RequestKind.BEGIN, RequestKind.BEGIN_READ_ONLY):
            raise RequestError(ErrorKind.BAD_REQUEST, "a transaction is open")
        elif self.transaction.is_failed and not ends:
            raise RequestError(ErrorKind.TRANSACTION_FAILED)

    def record_answer(self, request: Request, answer: Answer, elapsed_s: float) -> None:
        """Update the metrics with an answer, and log a failed request."""
        outcome = "served" if answer.error is None else str(answer.error.kind)
        if not self.is_handed_over:
            self.count_answer(request, outcome, elapsed_s)
        if answer.error is not None:
            route = self.services.routes.table.routes.get(self.database)
            log_failure(
                "request_failed",
                request=request.log_id,
                group=route.group if route is not None else None,
                database=self.database.decode("utf-8", "replace"),
                account=self.identity.account,
                kind=str(request.kind),
                error=str(answer.error.kind),
                reason=answer.error.reason,
                retry_after_s=answer.error.retry_after_s,
                version=self.services.routes.table.version,
                elapsed_s=round(elapsed_s, 4),
            )

    def find_remote(self, group: Group) -> RemoteServing | None:
        """Return what serves a group's work at other proxies; None to serve it here."""
        return None if self.is_handed_over else self.services.find_remote(group)

    def count_answer(self, request: Request, outcome: str, elapsed_s: float) -> None:
        """Update the metrics with an answer to a caller of this proxy."""
        metrics.requests.add(1, {"kind": str(request.kind), "outcome": outcome})
        metrics.answer_time.record(elapsed_s, {"kind": str(request.kind)})
        if self.identity.account != ANONYMOUS:
            label = self.services.account_labels.count_request(self.identity.account)
            metrics.account_requests.add(1, {"account": label, "outcome": outcome})

    def find_last_commit(self, group: str) -> LogPosition | None:
        """Return the position of the session's newest commit in a group."""
        if self.last_commit is None or self.last_commit[0] != group:
            return None
        return self.last_commit[1]

    def record_commit(self, group: str, reply: Reply) -> None:
        """Record the position of a commit that is acknowledged to the caller."""
        if reply.position is None:
            return
        known = self.find_last_commit(group)
        if known is None or reply.position > known:
            self.last_commit = (group, reply.position)

    def is_idle_too_long(self, limit_s: float) -> bool:
        """Return whether a transaction has been idle for too long."""
        transaction = self.transaction
        if transaction is None or transaction.is_failed:
            return False
        return now_s() - transaction.used_at_s > limit_s

    def end_transaction(self, reason: str) -> None:
        """Roll back the open transaction; the next request fails because of it."""
        if self.transaction is not None and not self.transaction.is_failed:
            self.transaction.fail()
            logger.bind(
                database=self.database.decode("utf-8", "replace"), reason=reason
            ).info("transaction_ended")

    def close(self) -> None:
        """Roll back the open transaction, if any, and release its connection."""
        if self.transaction is not None:
            self.transaction.release()
            self.transaction = None


def build_answer(session: Session, reply: Reply) -> Answer:
    """Build the answer that carries an upstream's reply."""
    return Answer(session.state, reply.rows, reply.signature)


async def serve_here(statement: Statement, last_commit: LogPosition | None) -> Reply:
    """Serve a statement outside a transaction at an upstream of this proxy."""
    try:
        if statement.writes:
            return await serve_write(statement)
        return await serve_read(statement, last_commit)
    finally:
        statement.admission.give_back()


@REQUEST_HANDLERS.register(RequestKind.READ)
@REQUEST_HANDLERS.register(RequestKind.WRITE)
@REQUEST_HANDLERS.register(RequestKind.EXECUTE)
async def serve_statement(session: Session, request: Request) -> Answer:
    """Serve a read or a write."""
    transaction = session.transaction
    if transaction is not None:
        statement = build_statement(
            request, transaction.route, transaction.group, session.context
        )
        statement.admission = transaction.admission
        return build_answer(session, await transaction.execute(statement))
    route = session.services.find_route(session.database)
    group = session.services.find_group(route)
    statement = build_statement(request, route, group, session.context)
    last_commit = session.find_last_commit(group.name)
    remote = session.find_remote(group)
    if remote is not None:
        statement.admission = session.defer_admission()
        reply = await remote.serve_statement(statement, last_commit)
    else:
        statement.admission = await session.admit()
        reply = await serve_here(statement, last_commit)
    if statement.writes:
        session.record_commit(group.name, reply)
    return build_answer(session, reply)


@REQUEST_HANDLERS.register(RequestKind.BEGIN)
@REQUEST_HANDLERS.register(RequestKind.BEGIN_READ_ONLY)
async def serve_begin(session: Session, request: Request) -> Answer:
    """Begin a transaction, which is sent to an upstream with its first statement."""
    route = session.services.find_route(session.database)
    group = session.services.find_group(route)
    is_read_only = request.kind is RequestKind.BEGIN_READ_ONLY
    remote = session.find_remote(group)
    if remote is not None:
        session.transaction = remote.begin_transaction(
            route,
            group,
            is_read_only,
            session.find_last_commit(group.name),
            session.defer_admission(),
        )
        return Answer(session.state)
    if not is_read_only:
        await group.wait_for_primary(now_s() + route.statement_timeout_s)
    admission = await session.admit()
    session.transaction = CallerTransaction(
        route, group, is_read_only, session.find_last_commit(group.name), admission
    )
    return Answer(session.state)


@REQUEST_HANDLERS.register(RequestKind.COMMIT)
async def serve_commit(session: Session, request: Request) -> Answer:
    """Commit the transaction; raise if it has failed and was rolled back."""
    transaction = session.transaction
    assert transaction is not None
    session.transaction = None
    if transaction.is_failed:
        raise RequestError(ErrorKind.UPSTREAM_LOST, "the transaction had failed")
    statement = build_statement(
        request, transaction.route, transaction.group, session.context
    )
    statement.admission = transaction.admission
    try:
        reply = await transaction.commit(statement)
    finally:
        transaction.release()
    if transaction.has_written:
        session.record_commit(transaction.group.name, reply)
    return build_answer(session, reply)


@REQUEST_HANDLERS.register(RequestKind.ROLLBACK)
async def serve_rollback(session: Session, request: Request) -> Answer:
    """Roll back the transaction."""
    session.close()
    return Answer(session.state)


@REQUEST_HANDLERS.register(RequestKind.SET)
async def serve_set(session: Session, request: Request) -> Answer:
    """Store a session value, which is set on connections before their use."""
    session.context.values[request.name] = request.argument
    return Answer(session.state)


@REQUEST_HANDLERS.register(RequestKind.PREPARE)
async def serve_prepare(session: Session, request: Request) -> Answer:
    """Store a statement, which is prepared on connections before its execution."""
    session.context.prepared[request.name] = PreparedStatement(
        request.argument, request.writes
    )
    return Answer(session.state)


@REQUEST_HANDLERS.register(RequestKind.CLOSE)
async def serve_close(session: Session, request: Request) -> Answer:
    """Remove a prepared statement; an unknown name is no error."""
    session.context.prepared.pop(request.name, None)
    return Answer(session.state)
