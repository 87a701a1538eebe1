"""Ends all sessions when the proxy shuts down."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from ebonyrack.callers.transaction_status import IDLE
from ebonyrack.callers.upstream_holder import SessionPhase
from ebonyrack.core.clock import now_s

if TYPE_CHECKING:
    from ebonyrack.callers.session import CallerSession
    from ebonyrack.service.drain import Drain

DRAIN_CHECK_S = 0.02
# During a drain the next request of a busy caller is rejected, which tells it that the
# request did not run. Only sessions that send none for this long are closed while idle.
IDLE_GRACE_PERIOD_S = 1.0


async def drain_sessions(
    sessions: dict[int, CallerSession], drain: Drain, limit_s: float
) -> int:
    """Wait until all sessions have ended, and end idle ones after a grace period.

    Args:
        sessions: Sessions by number; sessions that end are removed from it.
        drain: Drain state of the proxy, which is draining.
        limit_s: Seconds after which the wait is given up.

    Returns:
        Number of sessions that are still in a request or transaction.
    """
    deadline_s = now_s() + limit_s
    idle_deadline_s = now_s() + IDLE_GRACE_PERIOD_S
    while sessions and now_s() < deadline_s and not drain.forced.is_set():
        if now_s() >= idle_deadline_s:
            for session in tuple(sessions.values()):
                session.end_if_idle()
        await asyncio.sleep(DRAIN_CHECK_S)
    interrupted = [session for session in sessions.values() if is_in_use(session)]
    for session in interrupted:
        logger.bind(
            session=session.number,
            group=session.identity.group,
            phase=session.phase,
        ).warning("session_cut")
    return len(interrupted)


def is_in_use(session: CallerSession) -> bool:
    """Return whether a session is in a request or transaction.

    Args:
        session: The session.
    """
    return session.phase is not SessionPhase.IDLE or session.transaction.status != IDLE
