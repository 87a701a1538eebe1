"""One caller's session: a loop over its requests, from startup to the end."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING

from loguru import logger
from pygwire.exceptions import PygwireError
from pygwire.messages import Query

from ebonyrack.callers.answers import EMPTY_QUERY_FRAME
from ebonyrack.callers.answers import build_complete
from ebonyrack.callers.answers import build_error
from ebonyrack.callers.answers import build_ready
from ebonyrack.callers.answers import build_text_columns
from ebonyrack.callers.answers import build_text_row
from ebonyrack.callers.dispatch import dispatch
from ebonyrack.callers.exchange import SimpleRequest
from ebonyrack.callers.pipeline import Pipeline
from ebonyrack.callers.statement import classify_statement
from ebonyrack.callers.transaction import Transaction
from ebonyrack.callers.variables import SessionVariables
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ERROR_ANSWERS
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError

if TYPE_CHECKING:
    from ebonyrack.callers.startup import CallerIdentity
    from ebonyrack.callers.statement import Statement
    from ebonyrack.callers.stream import CallerStream
    from ebonyrack.core.settings import ProxySettings
    from ebonyrack.routing.read_index import ReadIndex
    from ebonyrack.service.services import Services
    from ebonyrack.upstreams.connection import Message
    from ebonyrack.upstreams.connection import UpstreamConnection
    from ebonyrack.upstreams.group import DatabaseGroup

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
        number: Number of the session, which is its process id for the caller.
        secret_key: Secret that a cancel request must name.
        variables: Session variables.
        transaction: The transaction and the connection that it holds.
        pipeline: Messages of the extended query protocol, once there were any.
        phase: What the session waits for.
        phase_since_s: Monotonic time at which the wait began.
        scope: Time limit of the step that waits before anything was sent, or None.
        is_cancel_requested: Whether the caller asked to cancel the request.
        is_ending: Whether the session ends as soon as its request is over.
    """

    __slots__ = (
        "services",
        "stream",
        "identity",
        "number",
        "secret_key",
        "variables",
        "transaction",
        "pipeline",
        "phase",
        "phase_since_s",
        "scope",
        "is_cancel_requested",
        "is_ending",
    )

    def __init__(
        self,
        services: Services,
        stream: CallerStream,
        identity: CallerIdentity,
        number: int,
        secret_key: bytes,
    ) -> None:
        self.services = services
        self.stream = stream
        self.identity = identity
        self.number = number
        self.secret_key = secret_key
        self.variables = SessionVariables(identity.group, services.token_key)
        self.transaction = Transaction(self)
        self.pipeline: Pipeline | None = None
        self.phase = Phase.IDLE
        self.phase_since_s = now_s()
        self.scope: asyncio.Timeout | None = None
        self.is_cancel_requested = False
        self.is_ending = False

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
        """Serve requests until the caller goes away or the session is ended."""
        try:
            while not self.is_ending:
                frame = await self.read_request()
                if frame is None or frame.kind == b"X":
                    return
                await self.handle(frame)
                await self.drain_caller()
        except RequestError as error:
            self.stream.write(build_error(error))
        finally:
            self.transaction.abandon("the session ended")

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
            self.pipeline.forget_unnamed()
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
        self.is_cancel_requested = False
        try:
            return await dispatch(self, statement, request)
        except RequestError as error:
            self.fail(error)
            return False

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
        self.transaction.fail(str(error))
        if ERROR_ANSWERS[error.kind].fatal:
            raise error
        self.stream.write(build_error(error))

    def write_ready(self) -> None:
        """Tell the caller that the next request may come."""
        self.stream.write(build_ready(self.transaction.status))

    def answer_complete(self, tag: str) -> None:
        """Answer a statement that the proxy served itself.

        Args:
            tag: Command tag.
        """
        self.stream.write(build_complete(tag))

    def answer_value(self, name: str, value: str) -> None:
        """Answer a SHOW.

        Args:
            name: Name of the variable.
            value: Its value.
        """
        self.stream.write(build_text_columns((name,)) + build_text_row((value,)))
        self.stream.write(build_complete("SHOW"))

    def answer_empty(self) -> None:
        """Answer an empty query."""
        self.stream.write(EMPTY_QUERY_FRAME)
