"""Watchdog that enforces the time limits of sessions' waits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from ebonyrack.callers.upstream_holder import SessionPhase
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ebonyrack.callers.session import CallerSession

CHECK_INTERVAL_S = 0.25


async def watch_sessions(sessions: dict[int, CallerSession]) -> None:
    """Check all sessions periodically.

    One task for all sessions costs less than a timer for each message.

    Args:
        sessions: Sessions by number.
    """
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        check_sessions(sessions.values(), now_s())


def check_sessions(sessions: Iterable[CallerSession], at_s: float) -> None:
    """Check sessions once.

    Args:
        sessions: The sessions.
        at_s: Current monotonic time, in seconds.
    """
    for session in tuple(sessions):
        if session.connection is not None:
            check_session(session, at_s - session.phase_since_s)


def check_session(session: CallerSession, waited_s: float) -> None:
    """End the wait of a session that holds a connection if it exceeds its limit.

    Args:
        session: The session.
        waited_s: Duration of the current wait, in seconds.
    """
    try:
        section = session.group.section
    except RequestError:
        # The group was removed from the document; its upstreams close the connections.
        return
    if session.phase is SessionPhase.UPSTREAM and waited_s > section.answer_wait_s:
        log_timeout(session, "answer_wait", waited_s)
        assert session.connection is not None
        session.connection.close()
    elif (
        session.phase is SessionPhase.IDLE and waited_s > section.idle_in_transaction_s
    ):
        log_timeout(session, "idle_in_transaction", waited_s)
        session.transaction.expire()
    elif (
        session.phase is SessionPhase.CALLER
        and waited_s > section.idle_in_transaction_s
    ):
        log_timeout(session, "answer_not_read", waited_s)
        session.stream.abort()


def log_timeout(session: CallerSession, reason: str, waited_s: float) -> None:
    """Log that a wait exceeded its limit.

    Args:
        session: The session.
        reason: Kind of the wait.
        waited_s: Duration of the wait, in seconds.
    """
    logger.bind(
        session=session.number,
        group=session.identity.group,
        reason=reason,
        waited_s=round(waited_s, 3),
    ).warning("wait_limit_exceeded")
