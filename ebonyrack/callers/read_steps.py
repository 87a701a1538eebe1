"""Steps and errors shared by all reads outside a transaction."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.callers.upstream_steps import acquire_connection
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.callers.relay import Relay
    from ebonyrack.callers.session import CallerSession
    from ebonyrack.upstreams.connection import UpstreamConnection
    from ebonyrack.upstreams.upstream import Upstream

# A replica rejects a write with this error (read_only_sql_transaction).
READ_ONLY_SQLSTATE = "25006"


class ReadInterruptedError(Exception):
    """The answer to a read did not arrive or was cut off.

    Attributes:
        upstream_name: Upstream that should have served the read.
        reason: Why the upstream was lost.
        has_sent: Whether part of the answer has been sent to the caller.
    """

    def __init__(self, upstream_name: str, reason: str, has_sent: bool) -> None:
        super().__init__(reason)
        self.upstream_name = upstream_name
        self.reason = reason
        self.has_sent = has_sent


class MisclassifiedWriteError(Exception):
    """A statement classified as a read was rejected by an upstream as a write."""


async def acquire_for_read(
    session: CallerSession, upstream: Upstream, deadline_s: float
) -> None:
    """Acquire a connection for a read.

    Args:
        session: The session, which holds the connection afterwards.
        upstream: The upstream.
        deadline_s: Monotonic time at which the wait ends, in seconds.

    Raises:
        ReadInterruptedError: If the upstream can't be reached.
        RequestError: If no connection becomes free in time.
    """
    try:
        await acquire_connection(session, upstream, deadline_s)
    except UpstreamLostError as error:
        raise report_interrupted_read(session, upstream, error, False) from error


def report_interrupted_read(
    session: CallerSession, upstream: Upstream, error: UpstreamLostError, has_sent: bool
) -> ReadInterruptedError:
    """Report the loss of an upstream and build the error of its read.

    Args:
        session: The session.
        upstream: The upstream.
        error: Error with which it was lost.
        has_sent: Whether part of the answer has been sent to the caller.
    """
    session.group.report_connection_lost(upstream.name, error.reason)
    return ReadInterruptedError(upstream.name, error.reason, has_sent)


def check_still_replica(connection: UpstreamConnection) -> None:
    """Raise UpstreamLostError if a read ended on a primary.

    Args:
        connection: The connection that served the read.
    """
    if connection.is_standby is False:
        raise UpstreamLostError("the replica became primary during the read")


def finish_read(session: CallerSession, relay: Relay) -> None:
    """Release the connection of a read.

    Args:
        session: The session.
        relay: Relay of the whole answer.

    Raises:
        MisclassifiedWriteError: If the upstream rejected the statement as a write.
    """
    if relay.sqlstate == READ_ONLY_SQLSTATE and not relay.has_sent:
        raise MisclassifiedWriteError
    session.record_serving_upstream()
    session.release_connection()
