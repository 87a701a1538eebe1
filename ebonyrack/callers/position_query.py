"""Questions for a log position, sent with a request, and their answers."""

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
    """Read the answer to a question for the last commit that was sent already.

    Args:
        session: A session that holds a connection.
        query: The query, asked again if a late cancel request hit it.

    Returns:
        The position; LOG_START if the connection never committed anything.

    Raises:
        UpstreamLostError: If there is no answer.
    """
    connection = session.connection
    assert connection is not None
    limit_s = session.group.section.answer_wait_s
    answer = await session.read_query_result()
    if answer.error is not None:
        answer = await connection.query(query, limit_s)
    if answer.error is not None or not answer.rows:
        raise UpstreamLostError("the position of the commit can't be read")
    text = answer.rows[0][0]
    try:
        return parse_position(text) if text else LOG_START
    except ValueError as error:
        raise UpstreamLostError(str(error)) from error


def build_position_query(session: CallerSession) -> bytes:
    """Build the question for the position that the upstream's log has reached.

    Args:
        session: The session.

    Returns:
        The frame, to be sent behind a read.
    """
    return build_query(get_contract(session).build_poll(LOG_START, 0))


async def read_position(session: CallerSession) -> LogPosition:
    """Read the answer to the question for the position that was sent already.

    Args:
        session: A session that holds a connection.

    Returns:
        A position that covers everything that was read on the connection so far.

    Raises:
        UpstreamLostError: If there is no answer.
    """
    answer = await session.read_query_result()
    return read_polled_position(get_contract(session), answer)


async def read_status(session: CallerSession) -> UpstreamStatus | None:
    """Read the answer to the question for the position that was sent already.

    Args:
        session: A session that holds a connection.

    Returns:
        The status, or None if the upstream answered an error.

    Raises:
        UpstreamLostError: If there is no answer or it has another form.
    """
    answer = await session.read_query_result()
    if answer.error is not None:
        return None
    return read_polled_status(get_contract(session), answer)


def read_polled_position(
    contract: EbonyrackContract, answer: QueryResult
) -> LogPosition:
    """Read the received position from the answer to a poll.

    Args:
        contract: Contract of the group.
        answer: The answer.

    Raises:
        UpstreamLostError: If the answer is an error or has another form.
    """
    return read_polled_status(contract, answer).received


def read_polled_status(
    contract: EbonyrackContract, answer: QueryResult
) -> UpstreamStatus:
    """Read the answer to a poll.

    Args:
        contract: Contract of the group.
        answer: The answer.

    Raises:
        UpstreamLostError: If the answer is an error or has another form.
    """
    if answer.error is not None or not answer.rows:
        raise UpstreamLostError("the position can't be read")
    try:
        return contract.parse_status(answer.rows[0])
    except (ValueError, TypeError) as error:
        raise UpstreamLostError(f"the position can't be read: {error}") from error
