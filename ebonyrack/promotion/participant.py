"""One upstream in a change of primary: its connection and what it said on it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from loguru import logger
from result import Err

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import RequestError
from ebonyrack.members.link import ReplyTimeoutError
from ebonyrack.members.link import UpstreamLink
from ebonyrack.members.member import Member
from ebonyrack.placing.position_history import PositionSample
from ebonyrack.pooling.upstream_lost import UpstreamLostError
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import UpstreamStatus
from ebonyrack.requests.request import RESUME_REQUEST
from ebonyrack.requests.request import STATUS_REQUEST
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import build_pause_request

# One question to an upstream, a connection included.
REQUEST_TIMEOUT_S = 0.5
# An idle connection of the pool is taken if one comes free in this time.
POOL_WAIT_S = 0.03
# Name under which a promotion waits for a connection.
POOL_CALLER_NAME = "ebonyrack promotion"
# An upstream whose slots are all taken is asked again after this.
BUSY_PAUSE_S = 0.03


@dataclass(slots=True)
class PromotionParticipant:
    """A connection for one change of primary, and what the upstream said on it.

    The connection stays open from the pause to the order: while it does, the
    upstream has not started anew and lost the pause.

    Attributes:
        member: The upstream.
        link: The connection; None if there is none.
        status: What it said last, or None.
        is_paused: Whether it was paused on this connection.
        paused_term: Term of that pause.
        is_pooled: Whether the connection is the pool's.
    """

    member: Member
    link: UpstreamLink | None = None
    status: UpstreamStatus | None = None
    is_paused: bool = False
    paused_term: int = 0
    is_pooled: bool = False

    async def connect(self) -> None:
        """Take a connection and ask for the status; failures leave both empty.

        One of the pool is preferred, as the upstream may have none to spare.
        """
        self.close()
        give_up_s = now_s() + POOL_WAIT_S
        try:
            self.link = await self.member.pool.acquire(POOL_CALLER_NAME, give_up_s)
            self.is_pooled = True
        except (RequestError, UpstreamLostError) as error:
            logger.bind(upstream=self.member.member_id, reason=str(error)).debug(
                "promotion_opens_connection"
            )
            await self.connect_directly(REQUEST_TIMEOUT_S)
            return
        await self.request_status(STATUS_REQUEST)

    async def connect_directly(self, timeout_s: float) -> None:
        """Open a connection outside the pool and ask for the status."""
        try:
            self.link = await self.member.open_link(timeout_s)
        except UpstreamLostError as error:
            self.log_unanswered(error.reason)
            return
        await self.request_status(STATUS_REQUEST)

    async def request_status(self, request: Request) -> UpstreamStatus | None:
        """Send an order whose answer is the status; return that, None without one."""
        self.status = None
        give_up_s = boot_time_s() + REQUEST_TIMEOUT_S
        while self.link is not None and self.link.is_open:
            try:
                (reply,) = await self.link.exchange([request], REQUEST_TIMEOUT_S)
            except (UpstreamLostError, ReplyTimeoutError) as error:
                self.log_unanswered(repr(error))
                return None
            if reply.rejection is RejectionKind.BUSY and boot_time_s() < give_up_s:
                await asyncio.sleep(BUSY_PAUSE_S)
                continue
            found = self.link.codec.read_status(reply)
            if isinstance(found, Err):
                self.log_unanswered(found.err_value)
            else:
                self.status = found.ok_value
            return self.status
        return None

    async def pause(self, term: int) -> None:
        """Stop the upstream from receiving in the terms so far."""
        self.paused_term = term
        self.is_paused = (
            await self.request_status(build_pause_request(term)) is not None
        )

    async def resume(self) -> None:
        """Let the upstream receive again, unless another proxy has paused it since.

        Whoever holds the duty later pauses with a higher term.
        """
        if not self.is_paused:
            return
        status = await self.request_status(STATUS_REQUEST)
        if status is not None and status.paused_term == self.paused_term:
            await self.request_status(RESUME_REQUEST)

    async def prove_primary(self) -> PositionSample | None:
        """Ask whether the upstream leads now, by a transaction that only then opens.

        Returns:
            The position of its log, with the time of the question; None if it
            doesn't lead or doesn't answer.
        """
        if self.link is None or not self.link.is_open:
            return None
        try:
            began, sent_at_s = await self.link.probe_primary(REQUEST_TIMEOUT_S)
        except (UpstreamLostError, ReplyTimeoutError) as error:
            self.log_unanswered(repr(error))
            return None
        if began.rejection is not None or began.position is None:
            return None
        return PositionSample(sent_at_s, began.position)

    def close(self) -> None:
        """Give the connection back, or drop it."""
        link, self.link = self.link, None
        if link is None:
            return
        if self.is_pooled:
            self.is_pooled = False
            self.member.pool.release(link)
        else:
            link.close()

    def log_unanswered(self, reason: str) -> None:
        """Log an upstream that did not answer."""
        logger.bind(
            group=self.member.entry.group,
            upstream=self.member.member_id,
            reason=reason,
        ).warning("promotion_contact_silent")
