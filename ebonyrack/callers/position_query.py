"""Queries for a log position, which are sent with a request, and their results."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.callers.answers import build_query
from ebonyrack.core.position import LOG_START
from ebonyrack.core.position import parse_position
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.contract import CONTRACTS

if TYPE_CHECKING:
    from ebonyrack.callers.session import CallerSession
    from ebonyrack.core.position import LogPosition
    from ebonyrack.upstreams.connection import QueryResult
    from ebonyrack.upstreams.contract import EbonyrackContract
    from ebonyrack.upstreams.status import UpstreamStatus


def get_contract(session: CallerSession) -> EbonyrackContract:
    """Return the contract of the session's group.

    Args:
        session: The session.
    """
    return CONTRACTS.get(session.group.section.contract)()


async def read_last_commit(session: CallerSession, query: str) -> LogPosition:
    """Read the last commit's position from the result of a query sent earlier.

    Args:
        session: A session that holds a connection.
        query: The query, which is sent again if a late cancel request cancelled it.

    Returns:
        The position; LOG_START if the connection has never committed anything.

    Raises:
        UpstreamLostError: If there is no valid reply.
    """
    connection = session.connection
    assert connection is not None
    limit_s = session.group.section.answer_wait_s
    result = await session.read_query_result()
    if result.error is not None:
        result = await connection.query(query, limit_s)
    if result.error is not None or not result.rows:
        raise UpstreamLostError("the position of the commit can't be read")
    text = result.rows[0][0]
    try:
        return parse_position(text) if text else LOG_START
    except ValueError as error:
        raise UpstreamLostError(str(error)) from error


def build_position_query(session: CallerSession) -> bytes:
    """Build the query for the position that the upstream's log has reached.

    Args:
        session: The session.

    Returns:
        The frame, to be sent together with a read.
    """
    return build_query(get_contract(session).build_poll(LOG_START, 0))


async def read_position(session: CallerSession) -> LogPosition:
    """Read the position from the result of a position query sent earlier.

    Args:
        session: A session that holds a connection.

    Returns:
        A position that covers everything that was read on the connection so far.

    Raises:
        UpstreamLostError: If there is no valid reply.
    """
    result = await session.read_query_result()
    return parse_polled_position(get_contract(session), result)


async def read_status(session: CallerSession) -> UpstreamStatus | None:
    """Read the status from the result of a position query sent earlier.

    Args:
        session: A session that holds a connection.

    Returns:
        The status, or None if the upstream replied with an error.

    Raises:
        UpstreamLostError: If there is no reply or it can't be parsed.
    """
    result = await session.read_query_result()
    if result.error is not None:
        return None
    return parse_polled_status(get_contract(session), result)


def parse_polled_position(
    contract: EbonyrackContract, result: QueryResult
) -> LogPosition:
    """Extract the received position from the result of a poll.

    Args:
        contract: Contract of the group.
        result: Result of the poll.

    Raises:
        UpstreamLostError: If the result is an error or can't be parsed.
    """
    return parse_polled_status(contract, result).received


def parse_polled_status(
    contract: EbonyrackContract, result: QueryResult
) -> UpstreamStatus:
    """Extract the status from the result of a poll.

    Args:
        contract: Contract of the group.
        result: Result of the poll.

    Raises:
        UpstreamLostError: If the result is an error or can't be parsed.
    """
    if result.error is not None or not result.rows:
        raise UpstreamLostError("the position can't be read")
    try:
        return contract.parse_status(result.rows[0])
    except (ValueError, TypeError) as error:
        raise UpstreamLostError(f"the position can't be read: {error}") from error
