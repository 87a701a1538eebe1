"""One caller's session: a loop over its requests, from startup to the end."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import TypeVar

from loguru import logger
from pygwire.exceptions import PygwireError
from pygwire.messages import Query

from ebonyrack.callers.answers import build_error
from ebonyrack.callers.answers import build_query
from ebonyrack.callers.answers import build_ready
from ebonyrack.callers.dispatch import run_simple
from ebonyrack.callers.exchange import SimpleRequest
from ebonyrack.callers.pipeline import Pipeline
from ebonyrack.callers.startup import check_allowed
from ebonyrack.callers.statement import classify_statement
from ebonyrack.callers.transaction import IDLE
from ebonyrack.callers.transaction import Transaction
from ebonyrack.callers.variables import SessionVariables
from ebonyrack.core import metrics
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ERROR_ANSWERS
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.status import Role

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from ebonyrack.callers.startup import CallerIdentity
    from ebonyrack.callers.statement import Statement
    from ebonyrack.callers.stream import CallerStream
    from ebonyrack.core.settings import ProxySettings
    from ebonyrack.routing.read_index import ReadIndex
    from ebonyrack.service.services import Services
    from ebonyrack.upstreams.connection import Message
    from ebonyrack.upstreams.connection import QueryAnswer
    from ebonyrack.upstreams.connection import UpstreamConnection
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

Result = TypeVar("Result")

COPY_KINDS = frozenset({b"d", b"c", b"f"})
PIPELINE_KINDS = frozenset({b"P", b"B", b"D", b"E", b"C", b"H", b"S"})


class Phase(StrEnum):
    """What a session waits for."""

    IDLE = "idle"
    WORKING = "working"
    UPSTREAM = "upstream"
    CALLER = "caller"


class CallerSession:
    """A caller's session, run by one task.

    Attributes:
        services: Parts of the proxy.
        stream: The caller's connection.
        identity: Who the caller is.
        document: Document against which the identity was checked last.
        number: Number of the session, which is its process id for the caller.
        secret_key: Secret that a cancel request must name.
        stop_statement: Cancels what an abandoned upstream connection still runs.
        variables: Session variables.
        transaction: The caller's transaction, if there is one.
        upstream: Upstream whose connection the session holds, or None.
        connection: That connection, or None.
        pipeline: Messages of the extended query protocol, once there were any.
        phase: What the session waits for.
        phase_since_s: Monotonic time at which the wait began.
        scope: Scope of a wait before anything was sent, ended to cancel it, or None.
        is_committing: Whether a COMMIT was sent, which is not cancelled any more.
        has_stale_statements: Whether the connection held is closed after use, since
            its prepared statements can't be relied on.
        cancel_done: Set when a cancel request has reached the upstream, or None.
    """

    __slots__ = (
        "services",
        "stream",
        "identity",
        "document",
        "number",
        "secret_key",
        "stop_statement",
        "variables",
        "transaction",
        "upstream",
        "connection",
        "pipeline",
        "phase",
        "phase_since_s",
        "scope",
        "is_committing",
        "cancel_done",
        "has_stale_statements",
    )

    def __init__(
        self,
        services: Services,
        stream: CallerStream,
        identity: CallerIdentity,
        number: int,
        secret_key: bytes,
        stop_statement: Callable[[UpstreamConnection], None],
    ) -> None:
        self.services = services
        self.stream = stream
        self.identity = identity
        self.document = services.configuration.document
        self.number = number
        self.secret_key = secret_key
        self.stop_statement = stop_statement
        self.variables = SessionVariables(identity.group, services.token_key)
        self.transaction = Transaction(self)
        self.upstream: Upstream | None = None
        self.connection: UpstreamConnection | None = None
        self.pipeline: Pipeline | None = None
        self.phase = Phase.IDLE
        self.phase_since_s = now_s()
        self.scope: asyncio.Timeout | None = None
        self.is_committing = False
        self.cancel_done: asyncio.Event | None = None
        self.has_stale_statements = False

    @property
    def group(self) -> DatabaseGroup:
        """The session's database group.

        Raises:
            RequestError: UNKNOWN_GROUP if the document has it no more.
        """
        group = self.services.groups.get(self.identity.group)
        if group is None:
            raise RequestError(ErrorKind.UNKNOWN_GROUP, self.identity.group)
        return group

    @property
    def read_index(self) -> ReadIndex:
        """Read index of the session's group."""
        return self.services.read_indexes[self.identity.group]

    @property
    def settings(self) -> ProxySettings:
        """Settings of the proxy."""
        return self.services.settings.proxy

    def enter(self, phase: Phase) -> None:
        """Note what the session waits for from now on.

        Args:
            phase: The phase.
        """
        self.phase = phase
        self.phase_since_s = now_s()

    async def run(self) -> None:
        """Serve requests until the caller goes away or the proxy shuts down."""
        try:
            while True:
                frame = await self.read_request()
                if frame is None or frame.kind == b"X":
                    return
                self.check_admitted()
                await self.handle(frame)
                await self.drain_caller()
        finally:
            self.transaction.abandon()

    async def read_request(self) -> Message | None:
        """Wait for the next frame of the caller.

        Returns:
            The frame, or None if the caller has gone.

        Raises:
            RequestError: BAD_REQUEST if the frame is not valid.
        """
        limit = self.settings.maximum_message_bytes
        frame = self.stream.take_frame(limit)
        if frame is None:
            self.enter(Phase.IDLE)
            frame = await self.stream.read_frame(limit)
        self.enter(Phase.WORKING)
        return frame

    @property
    def is_between_requests(self) -> bool:
        """Whether neither a request nor a transaction nor a pipeline is open."""
        return self.transaction.status == IDLE and not self.is_in_pipeline

    def check_admitted(self) -> None:
        """Refuse a new request in a shutdown or after the document took the right.

        Raises:
            RequestError: SHUTTING_DOWN, UNKNOWN_GROUP or NOT_ALLOWED; the request
                did not run.
        """
        document = self.services.configuration.document
        is_draining = self.services.drain.is_draining
        if document is self.document and not is_draining:
            return
        if not self.is_between_requests:
            return
        if is_draining:
            raise RequestError(ErrorKind.SHUTTING_DOWN)
        check_allowed(document, self.identity)
        self.document = document

    def end_idle(self) -> None:
        """End the session unasked, if it waits for a request (for a shutdown)."""
        if self.phase is not Phase.IDLE or not self.is_between_requests:
            return
        if self.stream.buffer or self.stream.is_lost or self.stream.is_finished:
            return
        self.stream.write(build_error(RequestError(ErrorKind.SHUTTING_DOWN)))
        self.stream.finish()

    @property
    def is_in_pipeline(self) -> bool:
        """Whether messages have come that no Sync has closed yet."""
        return self.pipeline is not None and self.pipeline.is_open

    async def wait_for_message(self, connection: UpstreamConnection) -> Message:
        """Wait for the next message of the upstream that serves the request.

        Args:
            connection: The connection in use.

        Returns:
            The message.

        Raises:
            UpstreamLostError: If the connection has ended.
        """
        self.enter(Phase.UPSTREAM)
        message = await connection.read_message()
        self.phase = Phase.WORKING
        return message

    async def await_cancel(self) -> None:
        """Let a cancel request strike before the next statement is sent."""
        if self.cancel_done is not None:
            await self.cancel_done.wait()
            self.cancel_done = None

    async def read_control_answer(self) -> QueryAnswer:
        """Wait for the answer to a control query that was sent already.

        Returns:
            The answer.

        Raises:
            UpstreamLostError: If the connection has ended.
        """
        assert self.connection is not None
        self.enter(Phase.UPSTREAM)
        answer = await self.connection.read_answer()
        self.phase = Phase.WORKING
        return answer

    async def wait_before_sending(self, waiting: Awaitable[Result]) -> Result:
        """Wait for something that a request needs before anything is sent for it.

        Args:
            waiting: What to wait for; it keeps to the request's deadline itself.

        Returns:
            What the wait was for.

        Raises:
            RequestError: CANCELLED if the caller asked for it.
        """
        try:
            async with asyncio.timeout(None) as self.scope:
                return await waiting
        except TimeoutError:
            raise RequestError(ErrorKind.CANCELLED) from None
        finally:
            self.scope = None

    def hold_connection(
        self, upstream: Upstream, connection: UpstreamConnection
    ) -> None:
        """Keep a connection that was taken from a pool.

        Args:
            upstream: Its upstream.
            connection: The connection.
        """
        self.upstream = upstream
        self.connection = connection

    def release_connection(self) -> None:
        """Give the connection back to its pool, which closes it if it isn't clean."""
        upstream, connection = self.upstream, self.connection
        self.upstream = None
        self.connection = None
        self.cancel_done = None
        if upstream is None or connection is None:
            return
        if self.has_stale_statements:
            self.has_stale_statements = False
            connection.close()
        upstream.pool.release(connection)

    def lose_upstream(self, error: UpstreamLostError, kind: ErrorKind) -> RequestError:
        """Give up the connection held after the upstream was lost.

        Args:
            error: How it was lost.
            kind: What that means for the request.

        Returns:
            The error to raise.
        """
        if self.upstream is not None:
            self.group.report_lost(self.upstream.name, error.reason)
        if self.connection is not None:
            self.connection.close()
        self.release_connection()
        return RequestError(kind, error.reason)

    def send_surely(self, data: bytes, question: str) -> None:
        """Send a request together with the question for the commit's position.

        Args:
            data: Frames of the request.
            question: The question.

        Raises:
            RequestError: UPSTREAM_LOST if nothing of it was sent.
        """
        assert self.connection is not None
        try:
            self.connection.send(data + build_query(question))
        except UpstreamLostError as error:
            raise self.lose_upstream(error, ErrorKind.UPSTREAM_LOST) from error

    def note_served(self) -> None:
        """Remember which upstream serves, for `SHOW ebonyrack.served_by`."""
        upstream = self.upstream
        if upstream is not None:
            is_primary = upstream.name == self.group.primary_name
            role = Role.PRIMARY if is_primary else Role.REPLICA
            self.variables.served_by = f"{upstream.name} {role}"

    async def drain_caller(self) -> None:
        """Wait until the caller has taken most of its answer."""
        if self.stream.is_writing_paused:
            self.enter(Phase.CALLER)
            await self.stream.drain()
            self.phase = Phase.WORKING

    async def handle(self, frame: Message) -> None:
        """Serve one frame of the caller.

        Args:
            frame: The frame.

        Raises:
            RequestError: BAD_REQUEST for a frame that has no place here.
        """
        if frame.kind == b"Q":
            await self.run_query(frame)
        elif frame.kind in PIPELINE_KINDS:
            if self.pipeline is None:
                self.pipeline = Pipeline(self)
            await self.pipeline.accept(frame)
        elif frame.kind == b"F":
            self.fail(RequestError(ErrorKind.UNSUPPORTED, "function call"))
            self.write_ready()
        elif frame.kind not in COPY_KINDS:
            # Data of a COPY that was refused may still be on its way; skip it.
            raise RequestError(ErrorKind.BAD_REQUEST, f"message {frame.kind!r}")

    async def run_query(self, frame: Message) -> None:
        """Serve a simple query and end it with ReadyForQuery.

        Args:
            frame: The Query frame.

        Raises:
            RequestError: If the session ends with it.
        """
        if self.pipeline is not None:
            # As in PostgreSQL, a simple query drops the unnamed statement.
            self.pipeline.forget(b"")
        try:
            sql = Query.decode(frame.payload).query_string
        except (PygwireError, ValueError) as error:
            raise RequestError(ErrorKind.BAD_REQUEST, str(error)) from error
        statement = classify_statement(sql)
        await self.attempt(statement, SimpleRequest(frame.raw))
        self.write_ready()

    async def attempt(self, statement: Statement, request: SimpleRequest) -> bool:
        """Serve one statement; an error that does not end the session is answered.

        Args:
            statement: What the statement is.
            request: What to send for it.

        Returns:
            Whether it succeeded.

        Raises:
            RequestError: If the session ends with it.
        """
        try:
            is_success = await run_simple(self, statement, request)
        except RequestError as error:
            self.fail(error)
            is_success = False
        self.count_request(statement, is_success)
        return is_success

    def count_request(self, statement: Statement, is_success: bool) -> None:
        """Count a request that was answered.

        Args:
            statement: What the statement was.
            is_success: Whether it succeeded.
        """
        outcome = "success" if is_success else "error"
        labels = {"group": self.identity.group, "kind": statement.kind.value}
        metrics.requests.add(1, {**labels, "outcome": outcome})

    def fail(self, error: RequestError) -> None:
        """Answer an error and roll back the transaction, if there is one.

        Args:
            error: What ended the request.

        Raises:
            RequestError: The same error, if the session ends with it.
        """
        logger.bind(
            kind=error.kind, reason=error.reason, group=self.identity.group
        ).debug("request_failed")
        if error.kind is not ErrorKind.TRANSACTION_FAILED:
            self.transaction.fail()
        if ERROR_ANSWERS[error.kind].fatal:
            raise error
        self.stream.write(build_error(error))

    def write_ready(self) -> None:
        """Tell the caller that the next request may come."""
        self.stream.write(build_ready(self.transaction.status))
