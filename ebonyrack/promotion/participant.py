"""An upstream that takes part in a promotion: its connection and status."""

from __future__ import annotations

import asyncio

from loguru import logger
from msgspec import Struct
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
from ebonyrack.requests.request import build_step_down_request

# Timeout of one request to an upstream, including connecting.
REQUEST_TIMEOUT_S = 0.5
# Timeout of a request to a primary that seems lost; a later reply is of no use.
LOST_PRIMARY_TIMEOUT_S = 0.15
# Time to wait for a connection of the pool before opening another one.
POOL_WAIT_S = 0.03
# The same for a leaving primary, which serves on meanwhile.
PRIMARY_POOL_WAIT_S = 0.8
# Name under which a promotion waits for a connection.
POOL_CALLER_NAME = "ebonyrack promotion"
# Pause before retrying at an upstream whose slots are all in use.
BUSY_PAUSE_S = 0.03


class PromotionParticipant(Struct):
    """An upstream's connection during a promotion and the status received on it.

    The connection stays open from the pause to the order: as long as it is open, the
    upstream has not restarted and lost the pause.

    Attributes:
        member: The upstream.
        link: The connection; None if there is none.
        status: The last status received, or None.
        is_paused: Whether it was paused on this connection.
        paused_term: Term of that pause.
        was_paused: Whether another holder had paused it before, or may have.
        is_pooled: Whether the connection belongs to the pool.
    """

    member: Member
    link: UpstreamLink | None = None
    status: UpstreamStatus | None = None
    is_paused: bool = False
    paused_term: int = 0
    was_paused: bool = False
    is_pooled: bool = False

    async def connect(self, pool_wait_s: float = POOL_WAIT_S) -> None:
        """Acquire a connection and request the status; both stay None on failure.

        A pooled connection is preferred, as the upstream may accept no others.

        Args:
            pool_wait_s: Seconds to wait for it.
        """
        self.close()
        deadline_s = now_s() + pool_wait_s
        try:
            self.link = await self.member.pool.acquire(
                POOL_CALLER_NAME, deadline_s, account=None
            )
            self.is_pooled = True
        except (RequestError, UpstreamLostError) as error:
            logger.bind(upstream=self.member.member_id, reason=str(error)).debug(
                "promotion_opens_connection"
            )
            await self.connect_directly(REQUEST_TIMEOUT_S)
            return
        await self.request_status(STATUS_REQUEST)

    async def connect_primary(self, is_lost: bool) -> None:
        """Connect to the primary until now.

        Open connections to a lost one may never reply; those to a leaving one are all
        in use by callers.
        """
        if is_lost:
            await self.connect_directly(LOST_PRIMARY_TIMEOUT_S)
        else:
            await self.connect(PRIMARY_POOL_WAIT_S)

    async def connect_directly(self, timeout_s: float) -> None:
        """Open a connection outside the pool and request the status."""
        self.close()
        try:
            self.link = await self.member.open_link(timeout_s)
        except UpstreamLostError as error:
            self.log_unanswered(error.reason)
            return
        await self.request_status(STATUS_REQUEST)

    async def request_status(self, request: Request) -> UpstreamStatus | None:
        """Send a request whose reply is a status; return it, None without a reply."""
        self.status = None
        deadline_s = boot_time_s() + REQUEST_TIMEOUT_S
        while self.link is not None and self.link.is_open:
            try:
                (reply,) = await self.link.exchange([request], REQUEST_TIMEOUT_S)
            except (UpstreamLostError, ReplyTimeoutError) as error:
                self.log_unanswered(repr(error))
                return None
            if reply.rejection is RejectionKind.BUSY and boot_time_s() < deadline_s:
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
        """Make the upstream receive nothing of terms below a given one."""
        found = self.status or await self.request_status(STATUS_REQUEST)
        if found is None:
            return
        if found.is_paused and found.paused_term != self.paused_term:
            self.was_paused = True
        self.paused_term = term
        paused = await self.request_status(build_pause_request(term))
        self.is_paused = paused is not None and paused.paused_term >= term

    async def resume(self) -> None:
        """Let the upstream receive again, unless another proxy has paused it.

        A later lease holder pauses with a higher term. An order of an earlier one may
        still be carried out, or was carried out while this upstream was cut off.
        """
        if not self.paused_term or self.was_paused:
            return
        # The reply to the pause may have been lost.
        if not self.is_connected:
            await self.connect_directly(REQUEST_TIMEOUT_S)
        status = await self.request_status(STATUS_REQUEST)
        if status is not None and status.paused_term == self.paused_term:
            await self.request_status(RESUME_REQUEST)

    @property
    def leads(self) -> bool:
        """Whether it has told that it leads a term."""
        return self.status is not None and self.status.is_primary

    @property
    def is_paused_by_another(self) -> bool:
        """Whether another holder of the lease has paused it, or may have."""
        if self.paused_term:
            return self.was_paused
        return self.status is not None and self.status.is_paused

    @property
    def is_connected(self) -> bool:
        """Whether a connection to it is open."""
        return self.link is not None and self.link.is_open

    async def step_down(self, term: int) -> UpstreamStatus | None:
        """Ask the upstream to end its lead of an earlier term.

        Returns:
            Its status after that, None without a reply.
        """
        if self.link is None or not self.link.is_open:
            await self.connect_directly(LOST_PRIMARY_TIMEOUT_S)
        status = await self.request_status(build_step_down_request(term))
        logger.bind(
            upstream=self.member.member_id,
            term=term,
            leads=status.is_primary if status is not None else None,
            received=str(status.received) if status is not None else None,
        ).info("former_primary_stepped_down")
        return status

    async def prove_primary(self) -> PositionSample | None:
        """Probe with a read-write transaction whether the upstream is the primary.

        Returns:
            The position of its log and the time of the probe; None if it isn't the
            primary or doesn't reply.
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
        """Release the connection to the pool, or close it."""
        link, self.link = self.link, None
        if link is None:
            return
        if self.is_pooled:
            self.is_pooled = False
            self.member.pool.release(link)
        else:
            link.close()

    def log_unanswered(self, reason: str) -> None:
        """Log an upstream that did not reply."""
        logger.bind(
            group=self.member.entry.group,
            upstream=self.member.member_id,
            reason=reason,
        ).warning("promotion_upstream_silent")
