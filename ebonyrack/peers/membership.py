"""The table of proxies: who is alive, suspect, leaving or dead."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from loguru import logger
from transitions import Machine

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.settings import ProxySettings
from ebonyrack.peers.member import Member
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.member import hash_member
from ebonyrack.peers.member import is_live
from ebonyrack.peers.member import is_newer

FORGET_DEAD_AFTER_S = 7200.0
MAXIMUM_MEMBERS = 2000

STATES = [state.name for state in MemberState]
TRANSITIONS: list[Any] = [
    ["find_alive", "*", "ALIVE"],
    ["find_leaving", "*", "LEAVING"],
    ["find_suspect", ["ALIVE", "SUSPECT"], "SUSPECT"],
    ["find_dead", "*", "DEAD"],
]
TRIGGERS = {
    MemberState.ALIVE: "find_alive",
    MemberState.LEAVING: "find_leaving",
    MemberState.SUSPECT: "find_suspect",
    MemberState.DEAD: "find_dead",
}


class MemberEntry:
    """One row of the table, with the life cycle of the member.

    Attributes:
        member: The newest description that is known.
        changed_at_s: Time of the last change of state.
        heard_at_s: Time of the last direct sign of life, or None.
        interval_s: Seconds between the member's heartbeats, as it says.
        state: Name of the state, kept by the life cycle.
        digest: Hash of what peers compare of the member.
    """

    __slots__ = (
        "member",
        "changed_at_s",
        "heard_at_s",
        "interval_s",
        "state",
        "digest",
        "__dict__",
    )

    def __init__(self, member: Member) -> None:
        self.member = member
        self.changed_at_s = now_s()
        self.heard_at_s: float | None = None
        self.interval_s = 0.0
        self.state = member.state.name
        self.digest = hash_member(member)


Callback = Callable[[Member], None]


class Membership:
    """What this proxy knows of itself and the others.

    Attributes:
        local: This proxy's own description.
        entries: The other proxies by name.
        live_count: Number of proxies that take work, this one included.
        callbacks: Called with a member after each change of its description.
    """

    __slots__ = (
        "local",
        "entries",
        "live_count",
        "callbacks",
        "machine",
        "cached_digest",
        "cached_live",
    )

    def __init__(self, settings: ProxySettings, address: Address) -> None:
        # Wall-clock time only makes a higher first number likely; a member that
        # still starts too low learns it from its peers and raises its own.
        self.local = Member(
            name=settings.name,
            address=address,
            data_centre=settings.data_centre,
            region=settings.region,
            incarnation=int(time.time() * 1000),
            state=MemberState.ALIVE,
        )
        self.entries: dict[str, MemberEntry] = {}
        self.live_count = 1
        self.callbacks: list[Callback] = []
        self.machine = Machine(
            model=None,
            states=STATES,
            transitions=TRANSITIONS,
            initial="ALIVE",
            auto_transitions=False,
        )
        self.cached_digest: int | None = None
        self.cached_live: tuple[Member, ...] | None = None

    def set_address(self, address: Address) -> None:
        """Note where this proxy listens, once that is known."""
        self.local = replace(self.local, address=address)
        self.cached_live = None

    def subscribe(self, callback: Callback) -> None:
        """Call a function with a member after each change of it."""
        self.callbacks.append(callback)

    def live_members(self) -> tuple[Member, ...]:
        """Return the proxies that take work, this one included, sorted by name.

        A suspect member counts until it is dead; a leaving one doesn't.
        """
        if self.cached_live is None:
            self.cached_live = self.list_live()
        return self.cached_live

    def list_live(self) -> tuple[Member, ...]:
        """List the proxies that take work, sorted by name."""
        live = [
            entry.member for entry in self.entries.values() if is_live(entry.member)
        ]
        if is_live(self.local):
            live.append(self.local)
        return tuple(sorted(live, key=get_name))

    def all_members(self) -> tuple[Member, ...]:
        """Return every known proxy, this one included, sorted by name."""
        members = [entry.member for entry in self.entries.values()]
        return tuple(sorted([self.local, *members], key=get_name))

    def find(self, name: str) -> Member | None:
        """Return the member of a name, or None."""
        if name == self.local.name:
            return self.local
        entry = self.entries.get(name)
        return None if entry is None else entry.member

    @property
    def digest(self) -> int:
        """Hash of all members but the dead ones, the same in whatever order."""
        if self.cached_digest is None:
            self.cached_digest = self.compute_digest()
        return self.cached_digest

    def compute_digest(self) -> int:
        """Hash the members; a suspicion isn't part of it, since it passes."""
        total = hash_member(self.local)
        for entry in self.entries.values():
            total ^= entry.digest
        return total

    def merge(self, offered: Member) -> bool:
        """Take in what somebody says about a member.

        Args:
            offered: The description.

        Returns:
            Whether it was news.
        """
        if offered.name == self.local.name:
            return self.refute(offered)
        entry = self.entries.get(offered.name)
        if entry is None:
            return self.add_entry(offered)
        if not is_newer(offered, entry.member):
            return False
        self.change_entry(entry, offered)
        return True

    def add_entry(self, member: Member) -> bool:
        """Start to know a member."""
        if len(self.entries) >= MAXIMUM_MEMBERS:
            logger.bind(peer=member.name).error("too_many_members")
            return False
        entry = MemberEntry(member)
        self.machine.add_model(entry, initial=member.state.name)
        self.entries[member.name] = entry
        self.live_count += is_live(member)
        self.report(member)
        return True

    def change_entry(self, entry: MemberEntry, member: Member) -> None:
        """Move an entry to a newer description."""
        model: Any = entry
        if member.incarnation > entry.member.incarnation:
            # A new incarnation starts its own life cycle.
            model.find_alive()
        getattr(model, TRIGGERS[member.state])()
        self.live_count += is_live(member) - is_live(entry.member)
        entry.member = member
        entry.digest = hash_member(member)
        entry.changed_at_s = now_s()
        self.report(member)

    def refute(self, offered: Member) -> bool:
        """Raise this proxy's own incarnation if others hold something else of it.

        Args:
            offered: What another holds of this proxy.

        Returns:
            Whether the own description changed.
        """
        if offered == self.local or offered.incarnation < self.local.incarnation:
            return False
        self.local = replace(self.local, incarnation=offered.incarnation + 1)
        self.report(self.local)
        return True

    def leave(self) -> Member:
        """Mark this proxy as leaving.

        Returns:
            The own description, for the peers.
        """
        if self.local.state is not MemberState.LEAVING:
            self.local = replace(
                self.local,
                incarnation=self.local.incarnation + 1,
                state=MemberState.LEAVING,
            )
            self.live_count -= 1
            self.report(self.local)
        return self.local

    def suspect(self, name: str) -> None:
        """Note that a member answers neither this proxy nor those asked."""
        entry = self.entries[name]
        if entry.member.state is MemberState.ALIVE:
            self.merge(replace(entry.member, state=MemberState.SUSPECT))

    def declare_dead(self, name: str) -> None:
        """Note that a member has been silent for too long."""
        self.merge(replace(self.entries[name].member, state=MemberState.DEAD))

    def forget_dead(self) -> None:
        """Drop members that have been dead for long."""
        limit_s = now_s() - FORGET_DEAD_AFTER_S
        for name, entry in list(self.entries.items()):
            if entry.member.state is MemberState.DEAD and entry.changed_at_s < limit_s:
                self.machine.remove_model(entry)
                del self.entries[name]

    def note_heard(self, name: str, interval_s: float | None = None) -> None:
        """Note a direct sign of life of a member.

        Args:
            name: Its name.
            interval_s: Seconds to its next heartbeat, if it said so.
        """
        entry = self.entries.get(name)
        if entry is None:
            return
        entry.heard_at_s = now_s()
        if interval_s is not None:
            entry.interval_s = interval_s

    def stop_listening(self, name: str) -> None:
        """Expect no more signs of life of a member; its neighbours watch it."""
        entry = self.entries.get(name)
        if entry is not None:
            entry.heard_at_s = None

    def forgive_silence(self) -> None:
        """Start all waits for signs of life again, after a pause of this process."""
        for entry in self.entries.values():
            if entry.heard_at_s is not None:
                entry.heard_at_s = now_s()
            entry.changed_at_s = max(entry.changed_at_s, now_s())

    def report(self, member: Member) -> None:
        """Log a change and tell the subscribers."""
        self.cached_digest = None
        self.cached_live = None
        logger.bind(
            peer=member.name,
            state=member.state.name.lower(),
            incarnation=member.incarnation,
        ).info("member_changed")
        for callback in tuple(self.callbacks):
            callback(member)


def get_name(member: Member) -> str:
    """Return a member's name, to sort by."""
    return member.name
