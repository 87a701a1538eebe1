"""The upstream connection that a caller's session holds, and the session's waits."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import TypeVar

from ebonyrack.callers.answers import build_query
from ebonyrack.callers.variables import SessionVariables
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.status import Role

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from ebonyrack.callers.startup import CallerIdentity
    from ebonyrack.core.settings import ProxySettings
    from ebonyrack.routing.read_index import ReadIndex
    from ebonyrack.service.services import Services
    from ebonyrack.upstreams.connection import Message
    from ebonyrack.upstreams.connection import QueryResult
    from ebonyrack.upstreams.connection import UpstreamConnection
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

Result = TypeVar("Result")


class SessionPhase(StrEnum):
    """What a session waits for."""

    IDLE = "idle"
    WORKING = "working"
    UPSTREAM = "upstream"
    CALLER = "caller"


class UpstreamHolder:
    """Base of a session that manages its upstream connection.

    A session holds at most one connection, which no other session uses meanwhile.

    Attributes:
        services: Services of the proxy.
        identity: Identity of the caller.
        variables: Session variables.
        upstream: Upstream whose connection the session holds, or None.
        connection: That connection, or None.
        phase: What the session waits for.
        phase_since_s: Monotonic time at which the wait began.
        cancel_scope: Timeout that a cancel request makes expire, while the session
            waits and nothing has been sent yet; else None.
        is_committing: Whether a COMMIT is in progress, which is no longer cancelled.
        cancel_done: Event that is set once a cancel request has been forwarded to the
            upstream, or has failed; None if there is none.
        has_stale_statements: Whether the held connection must be closed after use, as
            its prepared statements can't be relied on.
    """

    __slots__ = (
        "services",
        "identity",
        "variables",
        "upstream",
        "connection",
        "phase",
        "phase_since_s",
        "cancel_scope",
        "is_committing",
        "cancel_done",
        "has_stale_statements",
    )

    def __init__(self, services: Services, identity: CallerIdentity) -> None:
        self.services = services
        self.identity = identity
        self.variables = SessionVariables(identity.group, services.token_key)
        self.upstream: Upstream | None = None
        self.connection: UpstreamConnection | None = None
        self.phase = SessionPhase.IDLE
        self.phase_since_s = now_s()
        self.cancel_scope: asyncio.Timeout | None = None
        self.is_committing = False
        self.cancel_done: asyncio.Event | None = None
        self.has_stale_statements = False

    @property
    def group(self) -> DatabaseGroup:
        """The session's database group.

        Raises:
            RequestError: UNKNOWN_GROUP if it is no longer in the document.
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

    def enter_phase(self, phase: SessionPhase) -> None:
        """Record what the session waits for from now on.

        Args:
            phase: The phase.
        """
        self.phase = phase
        self.phase_since_s = now_s()

    async def wait_for_message(self, connection: UpstreamConnection) -> Message:
        """Wait for the next message of the upstream that serves the request.

        Args:
            connection: The connection in use.

        Returns:
            The message.

        Raises:
            UpstreamLostError: If the connection has ended.
        """
        self.enter_phase(SessionPhase.UPSTREAM)
        message = await connection.read_message()
        self.phase = SessionPhase.WORKING
        return message

    async def wait_for_pending_cancel(self) -> None:
        """Wait until a pending cancel request has been forwarded.

        Otherwise it could cancel the next statement.
        """
        if self.cancel_done is not None:
            await self.cancel_done.wait()
            self.cancel_done = None

    async def read_query_result(self) -> QueryResult:
        """Wait for the result of a query of the proxy itself that was sent earlier.

        Returns:
            The result.

        Raises:
            UpstreamLostError: If the connection has ended.
        """
        assert self.connection is not None
        self.enter_phase(SessionPhase.UPSTREAM)
        result = await self.connection.read_answer()
        self.phase = SessionPhase.WORKING
        return result

    async def wait_cancellable(self, waiting: Awaitable[Result]) -> Result:
        """Wait for something that a request needs before anything is sent for it.

        Args:
            waiting: What to wait for; it observes the request's deadline itself.

        Returns:
            The result of `waiting`.

        Raises:
            RequestError: CANCELLED if the caller cancels the request.
        """
        try:
            async with asyncio.timeout(None) as self.cancel_scope:
                return await waiting
        except TimeoutError:
            raise RequestError(ErrorKind.CANCELLED) from None
        finally:
            self.cancel_scope = None

    def hold_connection(
        self, upstream: Upstream, connection: UpstreamConnection
    ) -> None:
        """Hold a connection that was acquired from a pool.

        Args:
            upstream: Its upstream.
            connection: The connection.
        """
        self.upstream = upstream
        self.connection = connection

    def release_connection(self) -> None:
        """Release the connection to its pool, which closes it if it isn't clean."""
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

    def handle_upstream_lost(
        self, error: UpstreamLostError, kind: ErrorKind
    ) -> RequestError:
        """Report the loss of the upstream and close the held connection.

        Args:
            error: Error with which it was lost.
            kind: Kind of the error for the request.

        Returns:
            The error to raise.
        """
        if self.upstream is not None:
            self.group.report_connection_lost(self.upstream.name, error.reason)
        if self.connection is not None:
            self.connection.close()
        self.release_connection()
        return RequestError(kind, error.reason)

    def send_with_query(self, data: bytes, query: str) -> None:
        """Send a request together with the query for the commit's position.

        Args:
            data: Frames of the request.
            query: The query.

        Raises:
            RequestError: UPSTREAM_LOST if the connection has ended; nothing was sent.
        """
        assert self.connection is not None
        try:
            self.connection.send(data + build_query(query))
        except UpstreamLostError as error:
            raise self.handle_upstream_lost(error, ErrorKind.UPSTREAM_LOST) from error

    def record_serving_upstream(self) -> None:
        """Record which upstream serves, for `SHOW ebonyrack.served_by`."""
        upstream = self.upstream
        if upstream is not None:
            is_primary = upstream.name == self.group.primary_name
            role = Role.PRIMARY if is_primary else Role.REPLICA
            self.variables.served_by = f"{upstream.name} {role}"
