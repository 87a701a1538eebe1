"""Detection of failed members by their silence and by probes."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.peers.link import PeerLink
from ebonyrack.peers.member import Member
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.member_messages import AskReach
from ebonyrack.peers.member_messages import ReachReply
from ebonyrack.peers.membership import MemberEntry
from ebonyrack.peers.message import Message
from ebonyrack.peers.request_link import PeerLostError

if TYPE_CHECKING:
    from ebonyrack.peers.hub import PeerHub

MISSED_HEARTBEATS = 4
LATENESS_DECAY = 0.8
INDIRECT_PROBES = 3


class FailureDetector:
    """Checks silent members, suspects them and declares them dead.

    Attributes:
        hub: Links of this proxy.
        checks: Running checks of silent members, by name.
        lateness_s: Recent maximum lateness of this process in seconds, decaying.
    """

    def __init__(self, hub: PeerHub) -> None:
        self.hub = hub
        self.checks: dict[str, asyncio.Task[None]] = {}
        self.lateness_s = 0.0
        hub.register_handler(AskReach, self.receive_reach_request)

    def record_lateness(self, lateness_s: float) -> None:
        """Record how late a timer of this process fired."""
        self.lateness_s = max(lateness_s, self.lateness_s * LATENESS_DECAY)

    def check_members(self) -> None:
        """Start a check of each silent member; declare overdue suspects dead."""
        for name, entry in tuple(self.hub.membership.entries.items()):
            state = entry.member.state
            if state is MemberState.SUSPECT:
                self.declare_dead_if_due(name, entry)
            elif state is not MemberState.DEAD and self.is_silent(entry):
                self.start_check(name)

    def declare_dead_if_due(self, name: str, entry: MemberEntry) -> None:
        """Declare a suspect dead if it has not refuted the suspicion in time."""
        peers = self.hub.settings.peers
        scale = self.compute_suspect_after_s(entry) / peers.suspect_after_s
        limit_s = (peers.dead_after_s - peers.suspect_after_s) * scale
        if now_s() - entry.changed_at_s > limit_s:
            self.hub.membership.declare_dead(name)

    def is_silent(self, entry: MemberEntry) -> bool:
        """Return whether a member that this proxy monitors is silent for too long."""
        if entry.last_contact_at_s is None and self.hub.dialler.is_sparse:
            return False
        return self.measure_silence(entry) > self.compute_suspect_after_s(entry)

    def measure_silence(self, entry: MemberEntry) -> float:
        """Return the seconds since the last direct contact with a member."""
        last_contact_at_s = entry.last_contact_at_s
        return now_s() - (
            entry.changed_at_s if last_contact_at_s is None else last_contact_at_s
        )

    def compute_suspect_after_s(self, entry: MemberEntry) -> float:
        """Return the seconds of silence after which a member is checked.

        An overloaded proxy reads late what its peers sent in time, so its own
        lateness is added to their heartbeat interval.
        """
        interval_s = (
            max(entry.interval_s, self.hub.heartbeat.interval_s) + self.lateness_s
        )
        return max(
            self.hub.settings.peers.suspect_after_s, MISSED_HEARTBEATS * interval_s
        )

    def start_check(self, name: str) -> None:
        """Start a check of a silent member unless one is running."""
        if name not in self.checks:
            task = self.hub.start_task(self.check_member(name))
            self.checks[name] = task
            task.add_done_callback(lambda _: self.checks.pop(name, None))

    async def check_member(self, name: str) -> None:
        """Suspect a member that neither direct nor indirect probes reach."""
        started_s = now_s()
        answers = await asyncio.gather(self.probe(name), self.probe_indirectly(name))
        entry = self.hub.membership.entries.get(name)
        if entry is None or entry.member.state is MemberState.DEAD:
            return
        if any(answers):
            self.record_reachable(name)
        elif (entry.last_contact_at_s or 0.0) < started_s:
            self.suspect_or_declare_dead(entry.member)

    def record_reachable(self, name: str) -> None:
        """Record that a silent member is alive; without a link, others monitor it."""
        if self.hub.dialler.is_sparse and name not in self.hub.links:
            self.hub.membership.stop_monitoring(name)
        else:
            self.hub.membership.record_contact(name)

    def suspect_or_declare_dead(self, member: Member) -> None:
        """Suspect a member; declare it dead if it announced that it leaves."""
        if member.state is MemberState.LEAVING:
            self.hub.membership.declare_dead(member.name)
        else:
            self.hub.membership.mark_suspect(member.name)

    async def probe_indirectly(self, name: str) -> bool:
        """Return whether any of a few random peers reaches a member."""
        others = [peer for peer in self.hub.links if peer != name]
        chosen = random.sample(others, min(INDIRECT_PROBES, len(others)))
        answers = await asyncio.gather(
            *(self.probe_through_peer(peer, name) for peer in chosen)
        )
        return any(answers)

    async def probe_through_peer(self, peer: str, name: str) -> bool:
        """Return whether one peer reaches a member."""
        try:
            reply = await self.hub.request(
                peer, AskReach(name), self.compute_reply_timeout_s(3)
            )
        except PeerLostError:
            return False
        return isinstance(reply, ReachReply) and reply.is_reachable

    async def receive_reach_request(
        self, link: PeerLink, message: AskReach
    ) -> Message | None:
        """Reply whether this proxy reaches a member that another doesn't reach."""
        return ReachReply(await self.probe(message.name))

    async def probe(self, name: str) -> bool:
        """Return whether a member replies to this proxy itself."""
        if name == self.hub.membership.local.name:
            return True
        try:
            await self.hub.request(
                name, AskReach(name), self.compute_reply_timeout_s(2)
            )
        except PeerLostError:
            return False
        return True

    def compute_reply_timeout_s(self, intervals: int) -> float:
        """Return the seconds to wait for a peer's reply."""
        return intervals * (self.hub.heartbeat.interval_s + self.lateness_s)
