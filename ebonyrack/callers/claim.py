"""Claims an idempotency key in a session's transaction."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.core.errors import ErrorKind
from ebonyrack.routing.idempotency import claim_key
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.callers.upstream_holder import UpstreamHolder


async def claim_session_key(
    session: UpstreamHolder, key: str, begin: str
) -> str | None:
    """Begin a transaction and claim an idempotency key in it, in one round trip.

    Args:
        session: The session, which holds a connection to the primary.
        key: The key.
        begin: Statement that begins the transaction.

    Returns:
        None if the key is new, else the recorded outcome.

    Raises:
        RequestError: UPSTREAM_LOST, or UNSUPPORTED if the key or its table does not
            allow it; nothing was committed.
    """
    connection = session.connection
    assert connection is not None
    try:
        limit_s = session.group.section.answer_wait_s
        claimed = await claim_key(connection, key, limit_s, begin)
    except UpstreamLostError as error:
        raise session.handle_upstream_lost(error, ErrorKind.UPSTREAM_LOST) from error
    return None if claimed.is_first else claimed.outcome
