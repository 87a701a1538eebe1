"""A caller's session: serves its requests from startup to disconnect."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger
from pygwire.exceptions import PygwireError
from pygwire.messages import Query

from ebonyrack.callers.answers import build_error_response
from ebonyrack.callers.answers import build_ready_for_query
from ebonyrack.callers.dispatch import run_simple
from ebonyrack.callers.exchange import SimpleRequest
from ebonyrack.callers.pipeline import Pipeline
from ebonyrack.callers.startup import check_group_access
from ebonyrack.callers.statement import classify_statement
from ebonyrack.callers.transaction import Transaction
from ebonyrack.callers.transaction_status import IDLE
from ebonyrack.callers.upstream_holder import SessionPhase
from ebonyrack.callers.upstream_holder import UpstreamHolder
from ebonyrack.core import metrics
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ERROR_ANSWERS
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ebonyrack.callers.startup import CallerIdentity
    from ebonyrack.callers.statement import Statement
    from ebonyrack.callers.stream import CallerStream
    from ebonyrack.service.services import Services
    from ebonyrack.upstreams.connection import Message
    from ebonyrack.upstreams.connection import UpstreamConnection

# CopyData, CopyDone and CopyFail.
COPY_DATA_KINDS = frozenset({b"d", b"c", b"f"})
PIPELINE_KINDS = frozenset({b"P", b"B", b"D", b"E", b"C", b"H", b"S"})


class CallerSession(UpstreamHolder):
    """A caller's session, run by one task.

    Attributes:
        stream: The caller's connection.
        document: Document with which the caller's access was last checked.
        number: Number of the session, which the caller sees as its process id.
        secret_key: Secret key that a cancel request must contain.
        cancel_statement: Cancels the statement of an abandoned upstream connection.
        transaction: The caller's transaction, whose status is idle if none is open.
        pipeline: Handler of the extended query protocol, or None before its first use.
    """

    __slots__ = (
        "stream",
        "document",
        "number",
        "secret_key",
        "cancel_statement",
        "transaction",
        "pipeline",
    )

    def __init__(
        self,
        services: Services,
        stream: CallerStream,
        identity: CallerIdentity,
        number: int,
        secret_key: bytes,
        cancel_statement: Callable[[UpstreamConnection], None],
    ) -> None:
        super().__init__(services, identity)
        self.stream = stream
        self.document = services.configuration.document
        self.number = number
        self.secret_key = secret_key
        self.cancel_statement = cancel_statement
        self.transaction = Transaction(self)
        self.pipeline: Pipeline | None = None

    async def run(self) -> None:
        """Serve requests until the caller disconnects or the proxy shuts down."""
        try:
            while True:
                frame = await self.read_request()
                if frame is None or frame.kind == b"X":
                    return
                self.check_admitted()
                await self.handle(frame)
                await self.drain_output()
        finally:
            self.transaction.release()

    async def read_request(self) -> Message | None:
        """Wait for the caller's next frame.

        Returns:
            The frame, or None if the caller has disconnected.

        Raises:
            RequestError: BAD_REQUEST if the frame is not valid.
        """
        limit = self.settings.maximum_message_bytes
        frame = self.stream.pop_frame(limit)
        if frame is None:
            self.enter_phase(SessionPhase.IDLE)
            frame = await self.stream.read_frame(limit)
        self.enter_phase(SessionPhase.WORKING)
        return frame

    @property
    def is_between_requests(self) -> bool:
        """Whether no transaction and no pipeline is open."""
        return self.transaction.status == IDLE and not self.is_in_pipeline

    def check_admitted(self) -> None:
        """Reject a new request during a shutdown or after access was revoked.

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
        check_group_access(document, self.identity)
        self.document = document

    def end_if_idle(self) -> None:
        """End the session for a shutdown if it is waiting for a request."""
        if self.phase is not SessionPhase.IDLE or not self.is_between_requests:
            return
        if self.stream.buffer or self.stream.is_lost or self.stream.is_eof_sent:
            return
        self.stream.write(build_error_response(RequestError(ErrorKind.SHUTTING_DOWN)))
        self.stream.send_eof()

    @property
    def is_in_pipeline(self) -> bool:
        """Whether a pipeline is open, i.e. its Sync has not arrived yet."""
        return self.pipeline is not None and self.pipeline.is_open

    async def drain_output(self) -> None:
        """Wait while the send buffer to the caller is full."""
        if self.stream.is_writing_paused:
            self.enter_phase(SessionPhase.CALLER)
            await self.stream.drain()
            self.phase = SessionPhase.WORKING

    async def handle(self, frame: Message) -> None:
        """Serve one frame of the caller.

        Args:
            frame: The frame.

        Raises:
            RequestError: BAD_REQUEST for an unexpected kind of frame.
        """
        if frame.kind == b"Q":
            await self.run_query(frame)
        elif frame.kind in PIPELINE_KINDS:
            if self.pipeline is None:
                self.pipeline = Pipeline(self)
            await self.pipeline.process_message(frame)
        elif frame.kind == b"F":
            self.fail_request(RequestError(ErrorKind.UNSUPPORTED, "function call"))
            self.write_ready()
        elif frame.kind not in COPY_DATA_KINDS:
            # Data of a rejected COPY may still arrive and is ignored.
            raise RequestError(ErrorKind.BAD_REQUEST, f"message {frame.kind!r}")

    async def run_query(self, frame: Message) -> None:
        """Serve a simple query and send ReadyForQuery.

        Args:
            frame: The Query frame.

        Raises:
            RequestError: If the error ends the session.
        """
        if self.pipeline is not None:
            # As in PostgreSQL, a simple query drops the unnamed statement.
            self.pipeline.store.remove(b"")
        try:
            sql = Query.decode(frame.payload).query_string
        except (PygwireError, ValueError) as error:
            raise RequestError(ErrorKind.BAD_REQUEST, str(error)) from error
        statement = classify_statement(sql)
        await self.serve_statement(statement, SimpleRequest(frame.raw))
        self.write_ready()

    async def serve_statement(
        self, statement: Statement, request: SimpleRequest
    ) -> bool:
        """Serve one statement and send errors that don't end the session.

        Args:
            statement: Classification of the statement.
            request: The request to send to an upstream.

        Returns:
            Whether it succeeded.

        Raises:
            RequestError: If the error ends the session.
        """
        started_s = now_s()
        try:
            is_success = await run_simple(self, statement, request)
        except RequestError as error:
            self.fail_request(error)
            is_success = False
        metrics.answer_time.record(now_s() - started_s, {"kind": statement.kind.value})
        self.count_request(statement, is_success)
        return is_success

    def count_request(self, statement: Statement, is_success: bool) -> None:
        """Count an answered request.

        Args:
            statement: Classification of the statement.
            is_success: Whether it succeeded.
        """
        outcome = "success" if is_success else "error"
        labels = {"group": self.identity.group, "kind": statement.kind.value}
        metrics.requests.add(1, {**labels, "outcome": outcome})

    def fail_request(self, error: RequestError) -> None:
        """End a request with an error and roll back its transaction, if one is open.

        Args:
            error: The error that ended the request.

        Raises:
            RequestError: The same error, if it ends the session.
        """
        logger.bind(
            kind=error.kind, reason=error.reason, group=self.identity.group
        ).debug("request_failed")
        if error.kind is not ErrorKind.TRANSACTION_FAILED:
            self.transaction.fail()
        if ERROR_ANSWERS[error.kind].fatal:
            raise error
        self.stream.write(build_error_response(error))

    def write_ready(self) -> None:
        """Send ReadyForQuery."""
        self.stream.write(build_ready_for_query(self.transaction.status))
