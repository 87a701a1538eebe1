"""The end of all sessions of a proxy that shuts down."""

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
# During a drain a busy caller's next request is refused, which tells it surely that
# the request did not run. Only who sends none for this long is ended unasked.
IDLE_GRACE_S = 1.0


async def drain_sessions(
    sessions: dict[int, CallerSession], drain: Drain, limit_s: float
) -> int:
    """Finish what runs and end all sessions.

    Args:
        sessions: Sessions by number, which leave it as they end.
        drain: Life cycle of the proxy, which is draining.
        limit_s: Seconds after which the rest is cut.

    Returns:
        How many sessions are left in a request or transaction.
    """
    deadline_s = now_s() + limit_s
    unasked_s = now_s() + IDLE_GRACE_S
    while sessions and now_s() < deadline_s and not drain.forced.is_set():
        if now_s() >= unasked_s:
            for session in tuple(sessions.values()):
                session.end_idle()
        await asyncio.sleep(DRAIN_CHECK_S)
    cut = [session for session in sessions.values() if is_in_use(session)]
    for session in cut:
        logger.bind(
            session=session.number,
            group=session.identity.group,
            phase=session.phase,
        ).warning("session_cut")
    return len(cut)


def is_in_use(session: CallerSession) -> bool:
    """Whether a session is in a request or transaction.

    Args:
        session: The session.
    """
    return session.phase is not SessionPhase.IDLE or session.transaction.status != IDLE
