"""Watches one group's primary: samples its positions, has a lost one replaced."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from loguru import logger

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
from ebonyrack.placing.primary_health import PrimaryHealth
from ebonyrack.pooling.upstream_lost import UpstreamLostError
from ebonyrack.promotion.promoter import Promoter
from ebonyrack.promotion.promoter import PromotionResult
from ebonyrack.serving.statement import record_begin_reply

# Between two looks at a primary.
LOOK_S = 0.1
# A position this old is asked for again; the youngest age that routes state is well
# above a second.
SAMPLE_AGE_S = 0.4
# The same while each question needs a connection of its own.
COSTLY_SAMPLE_AGE_S = 1.0
# One question. A primary that is only busy answers in a few milliseconds, as the
# question takes no slot.
QUESTION_TIMEOUT_S = 0.8
# Name under which questions wait for a connection.
QUESTIONER = "ebonyrack"
# Proxies that see the same loss don't ask for the duty at the same moment.
DUTY_SPREAD_S = 0.05
# An upstream that was silent this long is asked on another connection.
SILENT_S = 0.25
# The process was away if a look comes later than this; silence is counted anew then.
AWAY_S = 0.3
# After an attempt that did not end with a new primary.
RETRY_PAUSE_S = 0.3


class PrimaryWatch(Component):
    """Keeps what is known of one group's primary fresh.

    Attributes:
        group: The group.
        promoter: Changes its primary.
        is_discovery_complete: Tells whether all upstreams have had time to be known.
        tasks: Look at the primary, ask questions, change it.
        questions: Questions that wait for an answer, by upstream.
    """

    __slots__ = ("group", "promoter", "is_discovery_complete", "tasks", "questions")

    def __init__(
        self,
        group: Group,
        promoter: Promoter,
        is_discovery_complete: Callable[[], bool],
    ) -> None:
        self.group = group
        self.promoter = promoter
        self.is_discovery_complete = is_discovery_complete
        self.tasks: list[asyncio.Task[None]] = []
        self.questions: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start to watch."""
        self.tasks = [
            start_loop(self.look_forever),
            start_loop(self.replace_forever),
        ]

    async def stop(self) -> None:
        """Stop to watch."""
        await end_tasks([*self.tasks, *self.questions.values()])

    async def look_forever(self) -> None:
        """Look at the upstreams until cancelled."""
        pauses = PauseDetector(AWAY_S, boot_time_s)
        while True:
            pauses.schedule(LOOK_S)
            await self.group.changed.wait(LOOK_S * random.uniform(0.8, 1.2))
            self.note_pause(pauses.measure_pause())
            self.look_at_silent()
            self.group.trim_idle_connections()
            primary = self.group.primary
            if primary is None or self.group.health is not PrimaryHealth.SERVING:
                for member in list(self.group.members.values()):
                    self.ask(member)
            elif self.is_sample_due():
                self.ask(primary)
            self.group.update_health()

    def is_sample_due(self) -> bool:
        """Whether the primary should be asked for its position again."""
        is_costly = self.group.is_short_of_connections
        limit_s = COSTLY_SAMPLE_AGE_S if is_costly else SAMPLE_AGE_S
        return self.group.position_history.measure_age(boot_time_s()) > limit_s

    def note_pause(self, away_s: float) -> None:
        """Count silence anew after this process was away itself."""
        if away_s == 0.0:
            return
        logger.bind(group=self.group.name, away_s=round(away_s, 3)).warning(
            "proxy_was_away"
        )
        for member in self.group.members.values():
            member.liveness.reset_silence()

    def look_at_silent(self) -> None:
        """Ask upstreams that are silent; give up what can be read elsewhere."""
        for member in list(self.group.members.values()):
            silent_s = member.liveness.measure_silence()
            if silent_s > SILENT_S or member.liveness.refused_since_s is not None:
                self.ask(member)
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

    def ask(self, member: Member) -> None:
        """Ask an upstream whether it leads, unless a question is under way."""
        if member.member_id in self.questions:
            return
        task = asyncio.create_task(self.question(member))
        self.questions[member.member_id] = task
        task.add_done_callback(lambda _: self.questions.pop(member.member_id, None))

    async def question(self, member: Member) -> None:
        """Ask an upstream whether it leads; the group is told what it answers."""
        try:
            link = await member.pool.acquire(QUESTIONER, now_s() + QUESTION_TIMEOUT_S)
        except (RequestError, UpstreamLostError) as error:
            logger.bind(
                group=self.group.name, upstream=member.member_id, reason=str(error)
            ).debug("question_not_sent")
            return
        try:
            began, asked_at_s = await link.probe_primary(QUESTION_TIMEOUT_S)
        except (UpstreamLostError, ReplyTimeoutError) as error:
            logger.bind(
                group=self.group.name, upstream=member.member_id, reason=repr(error)
            ).info("question_unanswered")
            return
        finally:
            member.pool.release(link)
        member.record_position(began.position)
        record_begin_reply(self.group, member, began, asked_at_s)

    async def replace_forever(self) -> None:
        """Have a lost or leaving primary replaced until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            health = self.group.health
            if not health.needs_promotion or not self.group.members:
                continue
            if not self.is_discovery_complete():
                continue
            await asyncio.sleep(random.uniform(0, DUTY_SPREAD_S))
            if self.group.update_health() is not health:
                continue
            result = await self.promoter.run(health)
            if result is not PromotionResult.PROMOTED:
                await asyncio.sleep(RETRY_PAUSE_S * random.uniform(0.7, 1.3))
