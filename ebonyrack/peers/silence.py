"""Silent members: who is asked about them, doubted and held for dead."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.peers.link import PeerLink
from ebonyrack.peers.link import PeerLostError
from ebonyrack.peers.member import Member
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.member_messages import AskReach
from ebonyrack.peers.member_messages import ReachReply
from ebonyrack.peers.membership import MemberEntry
from ebonyrack.peers.message import Message

if TYPE_CHECKING:
    from ebonyrack.peers.hub import PeerHub

MISSED_HEARTBEATS = 4
LATENESS_FADING = 0.8
WITNESSES = 3


class SilenceWatch:
    """Looks into members from which nothing is heard.

    Attributes:
        hub: Links of this proxy.
        checks: Checks of silent members that are running, by name.
        lateness_s: Seconds by which this process is late of late, fading.
    """

    def __init__(self, hub: PeerHub) -> None:
        self.hub = hub
        self.checks: dict[str, asyncio.Task[None]] = {}
        self.lateness_s = 0.0
        hub.register_handler(AskReach, self.receive_ask_reach)

    def note_lateness(self, lateness_s: float) -> None:
        """Note how late this process serves its own timers."""
        self.lateness_s = max(lateness_s, self.lateness_s * LATENESS_FADING)

    def check_members(self) -> None:
        """Start a check of each member that fell silent; bury the long silent."""
        for name, entry in tuple(self.hub.membership.entries.items()):
            state = entry.member.state
            if state is MemberState.SUSPECT:
                self.declare_dead_if_due(name, entry)
            elif state is not MemberState.DEAD and self.is_silent(entry):
                self.start_check(name)

    def declare_dead_if_due(self, name: str, entry: MemberEntry) -> None:
        """Hold a suspect for dead when it has not refuted in time."""
        peers = self.hub.settings.peers
        scale = self.find_suspect_after(entry) / peers.suspect_after_s
        limit_s = (peers.dead_after_s - peers.suspect_after_s) * scale
        if now_s() - entry.changed_at_s > limit_s:
            self.hub.membership.declare_dead(name)

    def is_silent(self, entry: MemberEntry) -> bool:
        """Tell whether a member that this proxy listens to fell silent."""
        if entry.heard_at_s is None and self.hub.contacts.is_sparse:
            return False
        return self.measure_silence(entry) > self.find_suspect_after(entry)

    def measure_silence(self, entry: MemberEntry) -> float:
        """Return the seconds since a member's last direct sign of life."""
        heard_at_s = entry.heard_at_s
        return now_s() - (entry.changed_at_s if heard_at_s is None else heard_at_s)

    def find_suspect_after(self, entry: MemberEntry) -> float:
        """Return the seconds of silence after which a member is doubted.

        An overloaded proxy reads late what its peers sent in time, so it allows
        them as much again as it is late itself.
        """
        interval_s = (
            max(entry.interval_s, self.hub.heartbeat.interval_s) + self.lateness_s
        )
        return max(
            self.hub.settings.peers.suspect_after_s, MISSED_HEARTBEATS * interval_s
        )

    def start_check(self, name: str) -> None:
        """Ask others about a silent member, one check of it at a time."""
        if name not in self.checks:
            task = self.hub.own_task(self.check_member(name))
            self.checks[name] = task
            task.add_done_callback(lambda _: self.checks.pop(name, None))

    async def check_member(self, name: str) -> None:
        """Suspect a member that answers neither this proxy nor the witnesses."""
        started_s = now_s()
        answers = await asyncio.gather(self.probe(name), self.ask_witnesses(name))
        entry = self.hub.membership.entries.get(name)
        if entry is None or entry.member.state is MemberState.DEAD:
            return
        if any(answers):
            self.note_reached(name)
        elif (entry.heard_at_s or 0.0) < started_s:
            self.doubt(entry.member)

    def note_reached(self, name: str) -> None:
        """Note that a silent member lives; without a link others watch it."""
        if self.hub.contacts.is_sparse and name not in self.hub.links:
            self.hub.membership.stop_listening(name)
        else:
            self.hub.membership.note_heard(name)

    def doubt(self, member: Member) -> None:
        """Suspect a member; one that said it leaves has left."""
        if member.state is MemberState.LEAVING:
            self.hub.membership.declare_dead(member.name)
        else:
            self.hub.membership.suspect(member.name)

    async def ask_witnesses(self, name: str) -> bool:
        """Return whether any of a few other peers reaches a member."""
        others = [peer for peer in self.hub.links if peer != name]
        chosen = random.sample(others, min(WITNESSES, len(others)))
        answers = await asyncio.gather(
            *(self.ask_witness(peer, name) for peer in chosen)
        )
        return any(answers)

    async def ask_witness(self, peer: str, name: str) -> bool:
        """Return whether one peer reaches a member."""
        try:
            reply = await self.hub.request(peer, AskReach(name), self.find_patience(3))
        except PeerLostError:
            return False
        return isinstance(reply, ReachReply) and reply.is_reachable

    async def receive_ask_reach(
        self, link: PeerLink, message: AskReach
    ) -> Message | None:
        """Answer whether this proxy reaches a member that another doesn't."""
        return ReachReply(await self.probe(message.name))

    async def probe(self, name: str) -> bool:
        """Return whether a member answers this proxy itself."""
        if name == self.hub.membership.local.name:
            return True
        try:
            await self.hub.request(name, AskReach(name), self.find_patience(2))
        except PeerLostError:
            return False
        return True

    def find_patience(self, intervals: int) -> float:
        """Return the seconds to wait for an answer of a peer."""
        return intervals * (self.hub.heartbeat.interval_s + self.lateness_s)
