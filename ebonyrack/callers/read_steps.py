"""Steps that all reads outside a transaction share, and how a read can fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.callers.upstream_steps import acquire_connection
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.callers.relay import Relay
    from ebonyrack.callers.session import CallerSession
    from ebonyrack.upstreams.connection import UpstreamConnection
    from ebonyrack.upstreams.upstream import Upstream

# What a replica answers to a statement that writes after all.
READ_ONLY_SQLSTATE = "25006"


class ReadInterruptedError(Exception):
    """A read whose answer did not come, or not whole.

    Attributes:
        upstream_name: The upstream that was to serve it.
        reason: What happened.
        has_sent: Whether a part of the answer has gone to the caller.
    """

    def __init__(self, upstream_name: str, reason: str, has_sent: bool) -> None:
        super().__init__(reason)
        self.upstream_name = upstream_name
        self.reason = reason
        self.has_sent = has_sent


class MisclassifiedWriteError(Exception):
    """A statement taken for a read that an upstream refused as a write."""


async def acquire_for_read(
    session: CallerSession, upstream: Upstream, deadline_s: float
) -> None:
    """Take a connection for a read.

    Args:
        session: The session, which holds the connection afterwards.
        upstream: The upstream.
        deadline_s: Monotonic time at which the wait ends, in seconds.

    Raises:
        ReadInterruptedError: If the upstream can't be reached.
        RequestError: If no connection comes free in time.
    """
    try:
        await acquire_connection(session, upstream, deadline_s)
    except UpstreamLostError as error:
        raise report_interrupted_read(session, upstream, error, False) from error


def report_interrupted_read(
    session: CallerSession, upstream: Upstream, error: UpstreamLostError, has_sent: bool
) -> ReadInterruptedError:
    """Report an upstream as lost and build the error of its read.

    Args:
        session: The session.
        upstream: The upstream.
        error: How it was lost.
        has_sent: Whether a part of the answer has gone to the caller.
    """
    session.group.report_connection_lost(upstream.name, error.reason)
    return ReadInterruptedError(upstream.name, error.reason, has_sent)


def check_still_replica(connection: UpstreamConnection) -> None:
    """Raise UpstreamLostError if a read ended on a primary.

    Args:
        connection: The connection that served it.
    """
    if connection.is_standby is False:
        raise UpstreamLostError("the replica became primary during the read")


def finish_read(session: CallerSession, relay: Relay) -> None:
    """Give the connection of a read back.

    Args:
        session: The session.
        relay: The relay, run to its end.

    Raises:
        MisclassifiedWriteError: If the upstream refused the statement as a write.
    """
    if relay.sqlstate == READ_ONLY_SQLSTATE and not relay.has_sent:
        raise MisclassifiedWriteError
    session.record_serving_upstream()
    session.release_connection()
