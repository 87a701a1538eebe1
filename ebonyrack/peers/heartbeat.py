"""Heartbeats to the linked peers, with piggybacked membership updates."""

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
from ebonyrack.peers.member import Member
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.member_messages import AskMembers
from ebonyrack.peers.member_messages import Heartbeat
from ebonyrack.peers.member_messages import MembersReply
from ebonyrack.peers.message import Message
from ebonyrack.peers.request_link import PeerLostError

if TYPE_CHECKING:
    from ebonyrack.peers.hub import PeerHub

SPARSE_INTERVAL_FACTOR = 3
MAXIMUM_UPDATES_PER_HEARTBEAT = 16
UPDATE_BATCH_DELAY_S = 0.02
SYNC_INTERVAL_S = 1.0
MAXIMUM_SYNC_INTERVAL_S = 30.0
SYNC_TIMEOUT_S = 2.0


class HeartbeatTask(Component):
    """Sends heartbeats and membership updates: an async context manager.

    Attributes:
        hub: Links of this proxy.
        pending_updates: Names of changed members not yet sent on a link, by peer.
        synced_at_s: Time of the last exchange of whole tables.
        sync_interval_s: Minimum seconds from that exchange to the next.
        has_updates: Set while updates wait to be sent at once.
        pause_detector: Detects pauses of this process.
    """

    def __init__(self, hub: PeerHub) -> None:
        self.hub = hub
        self.pending_updates: dict[str, dict[str, None]] = {}
        self.synced_at_s = 0.0
        self.sync_interval_s = SYNC_INTERVAL_S
        self.has_updates = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.pause_detector = PauseDetector(hub.settings.peers.suspect_after_s)
        hub.register_handler(Heartbeat, self.receive_heartbeat)
        hub.register_handler(AskMembers, self.receive_members_request)

    async def start(self) -> None:
        """Start to send heartbeats."""
        self.hub.membership.subscribe(self.queue_update)
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop sending heartbeats."""
        await end_tasks([self.task])

    @property
    def interval_s(self) -> float:
        """Seconds between two heartbeats on a link."""
        interval_s = self.hub.settings.peers.heartbeat_interval_s
        if self.hub.dialler.is_sparse:
            return interval_s * SPARSE_INTERVAL_FACTOR
        return interval_s

    async def run(self) -> None:
        """Send heartbeats while the hub is open."""
        next_at_s = now_s()
        while True:
            await self.wait_until(next_at_s)
            if now_s() < next_at_s:
                self.send_updates()
                continue
            self.hub.failure_detector.record_lateness(now_s() - next_at_s)
            self.check_pause()
            self.hub.failure_detector.check_members()
            self.hub.membership.remove_dead()
            for name in tuple(self.hub.links):
                self.send_heartbeat(name)
            next_at_s = now_s() + self.interval_s * random.uniform(0.9, 1.0)

    async def wait_until(self, next_at_s: float) -> None:
        """Wait for the next heartbeat or for updates to send at once."""
        delay_s = max(0.0, next_at_s - now_s())
        self.pause_detector.schedule(delay_s)
        try:
            async with asyncio.timeout(delay_s):
                await self.has_updates.wait()
                # Updates that arrive in a burst are sent together.
                await asyncio.sleep(UPDATE_BATCH_DELAY_S)
        except TimeoutError:
            return

    def check_pause(self) -> None:
        """After a pause of this process, restart the timers of silent peers."""
        pause_s = self.pause_detector.measure_pause()
        if pause_s:
            logger.bind(pause_s=round(pause_s, 3)).warning("process_was_paused")
            self.hub.membership.restart_silence_timers()
            for callback in self.hub.pause_callbacks:
                callback(pause_s)

    def send_first_heartbeat(self, link: PeerLink) -> None:
        """Send the first heartbeat on a new link."""
        self.pending_updates[link.member.name] = {}
        self.send_heartbeat(link.member.name)

    def queue_update(self, member: Member) -> None:
        """Queue a changed member for all links."""
        for name in self.hub.links:
            if name != member.name or member.state is not MemberState.ALIVE:
                self.pending_updates.setdefault(name, {})[member.name] = None
        self.has_updates.set()

    def send_updates(self) -> None:
        """Send the queued updates without waiting for the next heartbeat."""
        self.has_updates.clear()
        for name in [name for name, queued in self.pending_updates.items() if queued]:
            if name in self.hub.links:
                self.send_heartbeat(name)
            else:
                del self.pending_updates[name]

    def send_heartbeat(self, name: str) -> None:
        """Send one heartbeat with some queued updates to a linked peer."""
        queued = self.pending_updates.setdefault(name, {})
        chosen = list(queued)[:MAXIMUM_UPDATES_PER_HEARTBEAT]
        members = [self.hub.membership.find(changed) for changed in chosen]
        for changed in chosen:
            del queued[changed]
        if queued:
            self.has_updates.set()
        heartbeat = Heartbeat(
            incarnation=self.hub.membership.local.incarnation,
            revision=self.hub.revision,
            digest=self.hub.membership.digest,
            interval_ms=round(self.interval_s * 1000),
            news=tuple(member for member in members if member is not None),
        )
        self.hub.send_to_peer(name, heartbeat)

    async def receive_heartbeat(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        """Record a heartbeat and merge its updates."""
        name = link.member.name
        membership = self.hub.membership
        self.hub.last_heartbeat_at_s = now_s()
        for member in heartbeat.news:
            if not membership.merge(member):
                self.queue_correction(name, member)
            self.discard_known_update(name, member)
        self.prompt_refutation(link, heartbeat)
        membership.record_contact(name, heartbeat.interval_ms / 1000)
        if heartbeat.digest == membership.digest:
            self.sync_interval_s = SYNC_INTERVAL_S
        elif now_s() >= self.synced_at_s + self.sync_interval_s:
            await self.sync(link)

    def queue_correction(self, name: str, offered: Member) -> None:
        """Queue the known description of a member if a peer sent a different one."""
        known = self.hub.membership.find(offered.name)
        if known is not None and known != offered:
            self.pending_updates.setdefault(name, {})[offered.name] = None
            self.has_updates.set()

    def discard_known_update(self, name: str, received: Member) -> None:
        """Discard a queued update that the peer itself has just sent."""
        queued = self.pending_updates.get(name)
        if (
            queued
            and received.name in queued
            and self.hub.membership.find(received.name) == received
        ):
            del queued[received.name]

    def prompt_refutation(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        """Send a live peer its suspect or dead state, so that it can refute it."""
        known = self.hub.membership.find(link.member.name)
        if known is None:
            return
        is_suspected = known.state in (MemberState.SUSPECT, MemberState.DEAD)
        if is_suspected and known.incarnation >= heartbeat.incarnation:
            self.pending_updates.setdefault(link.member.name, {})[known.name] = None
            self.has_updates.set()

    async def sync(self, link: PeerLink) -> None:
        """Exchange whole tables with a peer whose digest differs.

        Updates are lost when a link ends before they are sent, so a lasting
        difference leads to an exchange. Without a full mesh, the interval between
        exchanges doubles each time: with many proxies some change is always in
        progress, and a table is large.
        """
        self.synced_at_s = now_s()
        try:
            reply = await link.request(AskMembers(), SYNC_TIMEOUT_S)
        except PeerLostError:
            return
        if not isinstance(reply, MembersReply):
            return
        if self.hub.dialler.is_sparse:
            self.sync_interval_s = min(
                2 * self.sync_interval_s, MAXIMUM_SYNC_INTERVAL_S
            )
        for member in reply.members:
            if not self.hub.membership.merge(member):
                self.queue_correction(link.member.name, member)
        self.queue_missing_members(link.member.name, reply)

    def queue_missing_members(self, name: str, reply: MembersReply) -> None:
        """Queue for a peer the members that its table lacks."""
        listed = {member.name for member in reply.members}
        for member in self.hub.membership.all_members():
            if member.name not in listed and member.state is not MemberState.DEAD:
                self.pending_updates.setdefault(name, {})[member.name] = None
                self.has_updates.set()

    async def receive_members_request(
        self, link: PeerLink, message: AskMembers
    ) -> Message | None:
        """Reply with the whole table."""
        return MembersReply(self.hub.membership.all_members())
