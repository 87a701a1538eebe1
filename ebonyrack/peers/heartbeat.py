"""Heartbeats to the linked peers, and the news that travels with them."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from loguru import logger

from ebonyrack.core.clock import PauseDetector
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.peers.link import PeerLink
from ebonyrack.peers.link import PeerLostError
from ebonyrack.peers.member import Member
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.member_messages import AskMembers
from ebonyrack.peers.member_messages import Heartbeat
from ebonyrack.peers.member_messages import MembersReply
from ebonyrack.peers.message import Message

if TYPE_CHECKING:
    from ebonyrack.peers.hub import PeerHub

SPARSE_INTERVAL_FACTOR = 3
NEWS_IN_HEARTBEAT = 16
NEWS_DELAY_S = 0.02
SYNC_INTERVAL_S = 1.0
MAXIMUM_SYNC_INTERVAL_S = 30.0
SYNC_TIMEOUT_S = 2.0


class HeartbeatTask(Component):
    """Sends heartbeats and news: an async context manager.

    Attributes:
        hub: Links of this proxy.
        news: Names of changed members that a link has not been told, by peer.
        synced_at_s: Time of the last fetch of a whole table.
        sync_pause_s: Seconds from that fetch to the next, if one is needed.
        has_news: Set while news is waiting to go out at once.
        pauses: Notices when this process was paused.
    """

    def __init__(self, hub: PeerHub) -> None:
        self.hub = hub
        self.news: dict[str, dict[str, None]] = {}
        self.synced_at_s = 0.0
        self.sync_pause_s = SYNC_INTERVAL_S
        self.has_news = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.pauses = PauseDetector(hub.settings.peers.suspect_after_s)
        hub.register_handler(Heartbeat, self.receive_heartbeat)
        hub.register_handler(AskMembers, self.receive_ask_members)

    async def start(self) -> None:
        """Start to beat."""
        self.hub.membership.subscribe(self.spread)
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """End the task that beats."""
        await end_tasks([self.task])

    @property
    def interval_s(self) -> float:
        """Seconds between two heartbeats on a link."""
        interval_s = self.hub.settings.peers.heartbeat_interval_s
        if self.hub.contacts.is_sparse:
            return interval_s * SPARSE_INTERVAL_FACTOR
        return interval_s

    async def run(self) -> None:
        """Beat for as long as the hub is open."""
        next_at_s = now_s()
        while True:
            await self.wait_until(next_at_s)
            if now_s() < next_at_s:
                self.send_news()
                continue
            self.hub.silence.note_lateness(now_s() - next_at_s)
            self.check_pause()
            self.hub.silence.check_members()
            self.hub.membership.forget_dead()
            for name in tuple(self.hub.links):
                self.send_heartbeat(name)
            next_at_s = now_s() + self.interval_s * random.uniform(0.9, 1.0)

    async def wait_until(self, next_at_s: float) -> None:
        """Wait for the next heartbeat or for news to send at once."""
        delay_s = max(0.0, next_at_s - now_s())
        self.pauses.schedule(delay_s)
        try:
            async with asyncio.timeout(delay_s):
                await self.has_news.wait()
                # News that comes in a burst travels together.
                await asyncio.sleep(NEWS_DELAY_S)
        except TimeoutError:
            return

    def check_pause(self) -> None:
        """After a pause of this process, don't blame the peers for the silence."""
        pause_s = self.pauses.measure_pause()
        if pause_s:
            logger.bind(pause_s=round(pause_s, 3)).warning("process_was_paused")
            self.hub.membership.forgive_silence()
            for callback in self.hub.pause_callbacks:
                callback(pause_s)

    def start_link(self, link: PeerLink) -> None:
        """Send the first heartbeat on a new link."""
        self.news[link.member.name] = {}
        self.send_heartbeat(link.member.name)

    def spread(self, member: Member) -> None:
        """Queue a changed member for all links."""
        for name in self.hub.links:
            if name != member.name or member.state is not MemberState.ALIVE:
                self.news.setdefault(name, {})[member.name] = None
        self.has_news.set()

    def send_news(self) -> None:
        """Send what is queued, without waiting for the next heartbeat."""
        self.has_news.clear()
        for name in [name for name, queued in self.news.items() if queued]:
            if name in self.hub.links:
                self.send_heartbeat(name)
            else:
                del self.news[name]

    def send_heartbeat(self, name: str) -> None:
        """Send one heartbeat with some news to a linked peer."""
        queued = self.news.setdefault(name, {})
        chosen = list(queued)[:NEWS_IN_HEARTBEAT]
        members = [self.hub.membership.find(changed) for changed in chosen]
        for changed in chosen:
            del queued[changed]
        if queued:
            self.has_news.set()
        heartbeat = Heartbeat(
            incarnation=self.hub.membership.local.incarnation,
            revision=self.hub.revision,
            digest=self.hub.membership.digest,
            interval_ms=round(self.interval_s * 1000),
            news=tuple(member for member in members if member is not None),
        )
        self.hub.tell(name, heartbeat)

    async def receive_heartbeat(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        """Take note of a sign of life and its news."""
        name = link.member.name
        membership = self.hub.membership
        self.hub.heard_at_s = now_s()
        for member in heartbeat.news:
            if not membership.merge(member):
                self.correct(name, member)
            self.skip_known(name, member)
        self.check_incarnation(link, heartbeat)
        membership.note_heard(name, heartbeat.interval_ms / 1000)
        if heartbeat.digest == membership.digest:
            self.sync_pause_s = SYNC_INTERVAL_S
        elif now_s() >= self.synced_at_s + self.sync_pause_s:
            await self.sync(link)

    def correct(self, name: str, offered: Member) -> None:
        """Tell a peer what is newer than what it said about a member."""
        known = self.hub.membership.find(offered.name)
        if known is not None and known != offered:
            self.news.setdefault(name, {})[offered.name] = None
            self.has_news.set()

    def skip_known(self, name: str, told: Member) -> None:
        """Don't tell a peer what it has just told itself."""
        queued = self.news.get(name)
        if (
            queued
            and told.name in queued
            and self.hub.membership.find(told.name) == told
        ):
            del queued[told.name]

    def check_incarnation(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        """Tell a peer that lives what is held of it, so that it can refute it."""
        known = self.hub.membership.find(link.member.name)
        if known is None:
            return
        is_doubted = known.state in (MemberState.SUSPECT, MemberState.DEAD)
        if is_doubted and known.incarnation >= heartbeat.incarnation:
            self.news.setdefault(link.member.name, {})[known.name] = None
            self.has_news.set()

    async def sync(self, link: PeerLink) -> None:
        """Exchange whole tables with a peer whose digest differs.

        News is lost when a link ends before it was sent, so a difference that
        lasts is looked into soon, then ever more rarely: with many proxies some
        change is always under way, and a table is large.
        """
        self.synced_at_s = now_s()
        try:
            reply = await link.request(AskMembers(), SYNC_TIMEOUT_S)
        except PeerLostError:
            return
        if not isinstance(reply, MembersReply):
            return
        if self.hub.contacts.is_sparse:
            self.sync_pause_s = min(2 * self.sync_pause_s, MAXIMUM_SYNC_INTERVAL_S)
        for member in reply.members:
            if not self.hub.membership.merge(member):
                self.correct(link.member.name, member)
        self.tell_missing(link.member.name, reply)

    def tell_missing(self, name: str, reply: MembersReply) -> None:
        """Queue for a peer the members that its table lacks."""
        listed = {member.name for member in reply.members}
        for member in self.hub.membership.all_members():
            if member.name not in listed and member.state is not MemberState.DEAD:
                self.news.setdefault(name, {})[member.name] = None
                self.has_news.set()

    async def receive_ask_members(
        self, link: PeerLink, message: AskMembers
    ) -> Message | None:
        """Answer with the whole table."""
        return MembersReply(self.hub.membership.all_members())
