"""Monitors one group's primary: samples its log position and replaces it if lost."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from loguru import logger
from result import Ok

from ebonyrack.core.clock import PauseDetector
from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.errors import RequestError
from ebonyrack.core.tasks import end_tasks
from ebonyrack.core.tasks import start_loop
from ebonyrack.members.group import Group
from ebonyrack.members.link import ReplyTimeoutError
from ebonyrack.members.member import Member
from ebonyrack.placing.connection_share import SCARCE_PROBES_PER_S
from ebonyrack.placing.connection_share import SCARCE_SEARCHES_PER_S
from ebonyrack.placing.primary_health import PrimaryHealth
from ebonyrack.pooling.fair_order import WorkTerms
from ebonyrack.pooling.upstream_lost import UpstreamLostError
from ebonyrack.promotion.promoter import Promoter
from ebonyrack.promotion.result import PromotionResult
from ebonyrack.requests.request import STATUS_REQUEST
from ebonyrack.serving.primary_proof import record_begin_reply
from ebonyrack.serving.primary_proof import start_proof

CHECK_INTERVAL_S = 0.1
# Age at which a position sample is renewed while each probe has to open a connection of
# its own.
MAXIMUM_COSTLY_SAMPLE_AGE_S = 1.0
# A primary that is only busy answers a probe within a few milliseconds, because a
# probe takes none of its request slots.
PROBE_TIMEOUT_S = 0.8
# Caller name under which probes wait for a connection.
PROBE_CALLER = "ebonyrack"
PROBE_TERMS = WorkTerms(waits_for_room=False)
# Keeps proxies that detect the same loss from requesting the promotion lease at the
# same moment.
PROMOTION_JITTER_S = 0.05
# An upstream that has been silent this long is probed on another connection.
PROBE_AFTER_SILENCE_S = 0.25
# A check that is later than this shows that this process was paused; the silence of
# upstreams is then measured from the end of the pause.
PAUSE_THRESHOLD_S = 0.3
# Delay after a promotion attempt that did not produce a new primary.
PROMOTION_RETRY_DELAY_S = 0.3


class PrimaryMonitor(Component):
    """Checks one group's primary continuously and replaces it when it is lost.

    Attributes:
        group: The group.
        promoter: Promotes another upstream to primary.
        is_discovery_complete: Returns whether all upstreams have had time to be
            discovered.
        is_left_to_others: Returns whether other proxies probe and replace the primary.
        tasks: The tasks that check the primary and replace it.
        probes: Probes in flight, by upstream.
    """

    __slots__ = (
        "group",
        "promoter",
        "is_discovery_complete",
        "is_left_to_others",
        "tasks",
        "probes",
    )

    def __init__(
        self,
        group: Group,
        promoter: Promoter,
        is_discovery_complete: Callable[[], bool],
        is_left_to_others: Callable[[], bool] = lambda: False,
    ) -> None:
        self.group = group
        self.promoter = promoter
        self.is_discovery_complete = is_discovery_complete
        self.is_left_to_others = is_left_to_others
        self.tasks: list[asyncio.Task[None]] = []
        self.probes: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start the check and replacement tasks."""
        self.tasks = [
            start_loop(self.check_forever),
            start_loop(self.replace_forever),
        ]

    async def stop(self) -> None:
        """Cancel all tasks, including the probes in flight."""
        await end_tasks([*self.tasks, *self.probes.values()])

    async def check_forever(self) -> None:
        """Check the upstreams until cancelled."""
        pauses = PauseDetector(PAUSE_THRESHOLD_S, boot_time_s)
        while True:
            pauses.schedule(CHECK_INTERVAL_S)
            await self.group.changed.wait(CHECK_INTERVAL_S * random.uniform(0.8, 1.2))
            self.handle_pause(pauses.measure_pause())
            self.group.trim_idle_connections()
            if self.is_left_to_others():
                self.forget_unused()
                continue
            self.probe_silent()
            primary = self.group.primary
            if self.group.changing_since_s is not None:
                self.start_leadership_check()
            if primary is None or self.group.health is not PrimaryHealth.SERVING:
                self.search_primary()
            elif self.is_sample_due():
                self.start_probe(primary)
            self.group.update_health()

    def forget_unused(self) -> None:
        """Forget failures of upstreams that this proxy doesn't probe any more."""
        for member in self.group.members.values():
            if not member.liveness.unanswered:
                member.liveness.reset_silence()
        self.group.update_health()

    def search_primary(self) -> None:
        """Probe the upstreams for a primary."""
        is_scarce = self.group.is_scarce
        for member in list(self.group.members.values()):
            if not is_scarce or self.group.draw_probe(
                SCARCE_SEARCHES_PER_S, CHECK_INTERVAL_S
            ):
                self.start_probe(member)

    def is_sample_due(self) -> bool:
        """Whether the position sample of the primary is due to be renewed.

        While connections are scarce, a read without a recent sample goes to the primary
        and renews it; probes only show whether the primary replies.
        """
        is_scarce = self.group.is_scarce
        is_costly = is_scarce or self.group.is_short_of_connections
        limit_s = self.group.sample_age_s
        if is_costly:
            limit_s = max(limit_s, MAXIMUM_COSTLY_SAMPLE_AGE_S)
        if self.group.position_history.measure_age(boot_time_s()) <= limit_s:
            return False
        return not is_scarce or self.group.draw_probe(
            SCARCE_PROBES_PER_S, CHECK_INTERVAL_S
        )

    def start_leadership_check(self) -> None:
        """Find out whether the change of primary by another proxy has ended."""
        if self.group.leadership is not None:
            self.group.leadership.request()

    def handle_pause(self, pause_s: float) -> None:
        """Restart the measurement of silence after a pause of this process."""
        if pause_s == 0.0:
            return
        logger.bind(group=self.group.name, away_s=round(pause_s, 3)).warning(
            "proxy_was_away"
        )
        for member in self.group.members.values():
            member.liveness.reset_silence()

    def probe_silent(self) -> None:
        """Probe silent upstreams; abandon exchanges that can run elsewhere."""
        for member in list(self.group.members.values()):
            silent_s = member.liveness.measure_silence()
            if (
                silent_s > PROBE_AFTER_SILENCE_S
                or member.liveness.refused_since_s is not None
            ):
                self.start_probe(member)
            limit_s = member.silence_limit_s
            abandoned_for_s = boot_time_s() - member.abandoned_at_s
            if silent_s <= limit_s or abandoned_for_s <= limit_s:
                continue
            count = member.abandon()
            if count:
                logger.bind(
                    group=self.group.name,
                    upstream=member.member_id,
                    silent_s=round(silent_s, 3),
                    limit_s=round(limit_s, 3),
                    exchanges=count,
                ).info("upstream_abandoned")

    def start_probe(self, member: Member) -> None:
        """Start to probe an upstream, unless a probe is in flight already."""
        if member.member_id in self.probes:
            return
        task = asyncio.create_task(self.probe(member))
        self.probes[member.member_id] = task
        task.add_done_callback(lambda _: self.probes.pop(member.member_id, None))

    async def probe(self, member: Member) -> None:
        """Probe whether an upstream is the primary; record its reply in the group."""
        try:
            link = await member.pool.acquire(
                PROBE_CALLER, now_s() + PROBE_TIMEOUT_S, None, PROBE_TERMS
            )
        except (RequestError, UpstreamLostError) as error:
            logger.bind(
                group=self.group.name, upstream=member.member_id, reason=str(error)
            ).debug("probe_not_sent")
            return
        proof = None
        if member is self.group.primary:
            proof = start_proof(self.group, member)
        try:
            if self.group.needs_status_of(member):
                found = await link.request_status(STATUS_REQUEST, PROBE_TIMEOUT_S)
                if isinstance(found, Ok):
                    self.group.record_status(member, found.ok_value)
            reply, sent_at_s = await link.probe_primary(PROBE_TIMEOUT_S)
        except (UpstreamLostError, ReplyTimeoutError) as error:
            logger.bind(
                group=self.group.name, upstream=member.member_id, reason=repr(error)
            ).info("probe_unanswered")
            return
        finally:
            member.pool.release(link)
        member.record_position(reply.position)
        record_begin_reply(self.group, member, reply, sent_at_s)
        if proof is None or reply.rejection is not None:
            return
        try:
            await proof.confirm(reply.position)
        except RequestError as error:
            logger.bind(group=self.group.name, reason=error.reason).debug(
                "position_not_sampled"
            )

    async def replace_forever(self) -> None:
        """Replace a lost or leaving primary, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.promoter.delete_expired_order()
            health = self.group.health
            if not health.needs_promotion or not self.group.members:
                continue
            if self.is_left_to_others():
                continue
            if not self.is_discovery_complete():
                continue
            await asyncio.sleep(random.uniform(0, PROMOTION_JITTER_S))
            if self.group.update_health() is not health:
                continue
            result = await self.promoter.run(health)
            if result is not PromotionResult.PROMOTED:
                await asyncio.sleep(PROMOTION_RETRY_DELAY_S * random.uniform(0.7, 1.3))
