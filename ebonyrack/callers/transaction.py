"""A caller's transaction and the upstream connection that it holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.callers.claim import claim_session_key
from ebonyrack.callers.commit import ROLLBACK_TAG
from ebonyrack.callers.commit import commit_read
from ebonyrack.callers.commit import commit_write
from ebonyrack.callers.commit import confirm_inner_commit
from ebonyrack.callers.recorded_answer import COMMIT_TAG
from ebonyrack.callers.recorded_answer import decode_answer
from ebonyrack.callers.relay import Relay
from ebonyrack.callers.transaction_status import FAILED
from ebonyrack.callers.transaction_status import IDLE
from ebonyrack.callers.transaction_status import OPEN
from ebonyrack.callers.upstream_steps import acquire_connection
from ebonyrack.callers.upstream_steps import acquire_primary_connection
from ebonyrack.callers.upstream_steps import build_requirement
from ebonyrack.callers.upstream_steps import confirm_replay
from ebonyrack.callers.upstream_steps import run_internal_statement
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.routing.read_placement import place_read
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.callers.exchange import Request
    from ebonyrack.callers.session import CallerSession


class Transaction:
    """The transaction of one session, if there is one.

    BEGIN is answered at once and sent to an upstream only with the first statement,
    so that a connection is held only while it is needed. An error on the proxy's side
    rolls the transaction back: the status is then `E` without a connection.

    Attributes:
        session: The session.
        status: `I`, `T` or `E`, as the caller sees it.
        begin_sql: Text of the BEGIN, of the caller or of the proxy.
        is_read_only: Whether a replica may serve it.
        is_implicit: Whether the proxy opened it for a pipeline of the caller.
        has_written: Whether a statement was sent that may write.
        needs_confirmation: Whether a majority must hold the data that it has read
            before its commit is answered.
        needs_replica: Whether it reads from a replica; if that replica was promoted
            in the meantime, the data needs confirmation too.
        key: Idempotency key of the transaction, or an empty string.
        pending_error: Error with which to answer the next statement, or None.
    """

    __slots__ = (
        "session",
        "status",
        "begin_sql",
        "is_read_only",
        "is_implicit",
        "has_written",
        "needs_confirmation",
        "needs_replica",
        "key",
        "pending_error",
    )

    def __init__(self, session: CallerSession) -> None:
        self.session = session
        self.pending_error: RequestError | None = None
        self.reset()

    def reset(self) -> None:
        """Set the state of a session without a transaction."""
        self.status = IDLE
        self.begin_sql = ""
        self.is_read_only = False
        self.is_implicit = False
        self.has_written = False
        self.needs_confirmation = False
        self.needs_replica = False
        self.key = ""

    def begin(self, sql: str, is_read_only: bool, is_implicit: bool = False) -> None:
        """Begin a transaction, without an upstream yet.

        Args:
            sql: Text of the BEGIN.
            is_read_only: Whether a replica may serve it.
            is_implicit: Whether the proxy opens it for a pipeline.
        """
        self.reset()
        self.status = OPEN
        self.begin_sql = sql
        self.is_read_only = is_read_only
        self.is_implicit = is_implicit
        self.key = self.session.variables.idempotency_key
        self.session.variables.idempotency_key = ""

    def raise_pending_error(self) -> None:
        """Raise the error that occurred while the caller was idle, if there is one.

        Raises:
            RequestError: That error, only once.
        """
        error, self.pending_error = self.pending_error, None
        if error is not None:
            raise error

    async def run(self, request: Request, is_read: bool) -> bool:
        """Run a statement in the transaction.

        Args:
            request: What to send.
            is_read: Whether it is known to write nothing.

        Returns:
            Whether it succeeded.

        Raises:
            RequestError: If an error of the proxy or the loss of the upstream ends the
                transaction.
        """
        session = self.session
        if session.connection is None:
            await self.begin_on_upstream()
        await session.wait_for_pending_cancel()
        assert session.connection is not None
        self.has_written = self.has_written or not is_read
        exchange = request.render(session.connection)
        relay = Relay(session, session.connection, exchange, hold_completed=not is_read)
        try:
            session.connection.send(exchange.data)
            await relay.run()
        except UpstreamLostError as error:
            kind = ErrorKind.ANSWER_CUT if relay.has_sent else ErrorKind.UPSTREAM_LOST
            raise session.handle_upstream_lost(error, kind) from error
        if session.connection.transaction_status == IDLE and not is_read:
            await confirm_inner_commit(session, session.connection)
        self.update_status()
        session.stream.write(relay.output)
        return relay.error is None

    def adopt(self) -> None:
        """Continue a transaction that a query of several statements has left open."""
        connection = self.session.connection
        assert connection is not None
        self.reset()
        self.status = connection.transaction_status
        self.has_written = True

    def update_status(self) -> None:
        """Update the status to what the upstream has reported."""
        connection = self.session.connection
        if connection is None:
            return
        self.status = connection.transaction_status
        if self.status == IDLE:
            self.session.release_connection()
            self.reset()

    async def begin_on_upstream(self) -> None:
        """Acquire a connection, begin on it and claim the idempotency key.

        Raises:
            RequestError: If no upstream can serve, or the key was used before.
        """
        session = self.session
        if self.is_read_only and not self.key:
            await self.acquire_read_connection()
        else:
            await acquire_primary_connection(session)
            # Even without writing, it may read data that no majority holds yet.
            self.needs_confirmation = session.group.section.read_policy == "quorum"
        if self.key:
            await self.claim_key()
        else:
            await run_internal_statement(session, self.begin_sql)
        session.record_serving_upstream()

    async def acquire_read_connection(self) -> None:
        """Acquire a connection to the upstream that is chosen for the reads.

        Raises:
            RequestError: If no upstream can serve.
        """
        session = self.session
        group = session.group
        deadline_s = now_s() + group.section.queue_wait_s
        placement = await session.wait_cancellable(
            place_read(
                group, session.read_index, build_requirement(session), deadline_s
            )
        )
        try:
            await acquire_connection(session, placement.upstream, deadline_s)
        except UpstreamLostError as error:
            group.report_connection_lost(placement.upstream.name, error.reason)
            raise RequestError(ErrorKind.UPSTREAM_LOST, error.reason) from error
        self.needs_confirmation = placement.hold_until_confirmed
        self.needs_replica = placement.needs_replica

    async def claim_key(self) -> None:
        """Begin the transaction and claim the idempotency key in it.

        Raises:
            RequestError: ALREADY_RAN if the key was used before, once a majority holds
                the recorded outcome.
        """
        session = self.session
        outcome = await claim_session_key(session, self.key, self.begin_sql)
        if outcome is None:
            self.has_written = True
            return
        await confirm_replay(session)
        tags = ", ".join(decode_answer(outcome).tags)
        raise RequestError(ErrorKind.ALREADY_RAN, f"outcome {tags}")

    async def commit(self, request: Request) -> bool:
        """Commit, and answer once a majority holds the transaction.

        Args:
            request: The COMMIT, of the caller or of the proxy.

        Returns:
            Whether it succeeded.

        Raises:
            RequestError: OUTCOME_UNKNOWN if the outcome of the commit is not known,
                UPSTREAM_LOST if nothing was committed, POSITION_NOT_REACHED if the
                data read was not confirmed, or the pending error.
        """
        session = self.session
        session.is_committing = True
        try:
            self.raise_pending_error()
            await session.wait_for_pending_cancel()
            if session.connection is None:
                return self.commit_without_upstream(request)
            if self.has_written:
                key = self.key if self.status == OPEN else ""
                return await commit_write(session, request, key)
            return await commit_read(session, request)
        except RequestError:
            # The transaction is over for the caller, whatever its outcome.
            self.release()
            self.reset()
            raise
        finally:
            session.is_committing = False

    def commit_without_upstream(self, request: Request) -> bool:
        """Answer the COMMIT of a transaction that is not open on any upstream.

        Args:
            request: The COMMIT, of the caller or of the proxy.

        Returns:
            True, as in PostgreSQL, which answers ROLLBACK if the transaction failed.
        """
        tag = ROLLBACK_TAG if self.status == FAILED else COMMIT_TAG
        self.reset()
        self.session.stream.write(request.build_replay([tag]))
        return True

    async def roll_back(self, request: Request) -> bool:
        """Roll the transaction back.

        Args:
            request: The ROLLBACK, of the caller or of the proxy.

        Returns:
            Whether it succeeded; False only if the upstream reports an error.
        """
        session = self.session
        if session.connection is None:
            self.reset()
            session.stream.write(request.build_replay([ROLLBACK_TAG]))
            return True
        try:
            return await self.run(request, is_read=True)
        except RequestError:
            # The loss of the connection has rolled the transaction back as well.
            self.reset()
            session.stream.write(request.build_replay([ROLLBACK_TAG]))
            return True

    def fail(self) -> None:
        """Roll back after an error on the proxy's side."""
        if self.status == IDLE:
            return
        self.release()
        self.status = FAILED

    def release(self) -> None:
        """Release the connection, closing it unless it is clean.

        A statement that still runs on it is cancelled.
        """
        session = self.session
        connection = session.connection
        if connection is not None and not connection.is_clean:
            if connection.pending_replies > 0 and not connection.is_closed:
                session.cancel_statement(connection)
            connection.close()
        session.release_connection()

    def expire(self) -> None:
        """Roll back because the caller was idle for too long."""
        self.fail()
        self.pending_error = RequestError(ErrorKind.IDLE_IN_TRANSACTION)
