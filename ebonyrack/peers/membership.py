"""The membership table: which proxies are alive, leaving, suspect or dead."""

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

REMOVE_DEAD_AFTER_S = 7200.0
MAXIMUM_MEMBERS = 2000

STATES = [state.name for state in MemberState]
TRANSITIONS: list[Any] = [
    ["become_alive", "*", "ALIVE"],
    ["become_leaving", "*", "LEAVING"],
    ["become_suspect", ["ALIVE", "SUSPECT"], "SUSPECT"],
    ["become_dead", "*", "DEAD"],
]
TRIGGERS = {
    MemberState.ALIVE: "become_alive",
    MemberState.LEAVING: "become_leaving",
    MemberState.SUSPECT: "become_suspect",
    MemberState.DEAD: "become_dead",
}


class MemberEntry:
    """One row of the table, with the life cycle of the member.

    Attributes:
        member: The newest description that is known.
        changed_at_s: Time of the last change of state.
        last_contact_at_s: Time of the last direct contact, or None.
        interval_s: Seconds between the member's heartbeats, as announced by it.
        state: Name of the state, set by the state machine.
        digest: Hash of the parts of the member that peers compare.
    """

    __slots__ = (
        "member",
        "changed_at_s",
        "last_contact_at_s",
        "interval_s",
        "state",
        "digest",
        "__dict__",
    )

    def __init__(self, member: Member) -> None:
        self.member = member
        self.changed_at_s = now_s()
        self.last_contact_at_s: float | None = None
        self.interval_s = 0.0
        self.state = member.state.name
        self.digest = hash_member(member)


Callback = Callable[[Member], None]


class Membership:
    """Table of this proxy and the others that it knows.

    Attributes:
        local: Description of this proxy.
        entries: The other proxies by name.
        live_count: Number of proxies that accept work, this one included.
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
        # After a restart, wall-clock time only makes a higher incarnation likely. If it
        # is still too low, `refute` increases it once a peer sends the higher one.
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
        """Set the address at which this proxy listens, once it is known."""
        self.local = replace(self.local, address=address)
        self.cached_live = None

    def subscribe(self, callback: Callback) -> None:
        """Register a function to call with a member after each change of it."""
        self.callbacks.append(callback)

    def live_members(self) -> tuple[Member, ...]:
        """Return the proxies that accept work, this one included, sorted by name.

        A suspect member counts until it is dead; a leaving one doesn't.
        """
        if self.cached_live is None:
            self.cached_live = self.list_live()
        return self.cached_live

    def list_live(self) -> tuple[Member, ...]:
        """List the proxies that accept work, sorted by name."""
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
        """Return the member with a name, or None."""
        if name == self.local.name:
            return self.local
        entry = self.entries.get(name)
        return None if entry is None else entry.member

    @property
    def digest(self) -> int:
        """Hash of all members but the dead ones, independent of their order."""
        if self.cached_digest is None:
            self.cached_digest = self.compute_digest()
        return self.cached_digest

    def compute_digest(self) -> int:
        """Hash the members; suspicion is left out because it is temporary."""
        total = hash_member(self.local)
        for entry in self.entries.values():
            total ^= entry.digest
        return total

    def merge(self, offered: Member) -> bool:
        """Merge a received description of a member into the table.

        Args:
            offered: The description.

        Returns:
            Whether it changed the table.
        """
        if offered.name == self.local.name:
            return self.refute(offered)
        entry = self.entries.get(offered.name)
        if entry is None:
            return self.add_entry(offered)
        if not is_newer(offered, entry.member):
            return False
        self.update_entry(entry, offered)
        return True

    def add_entry(self, member: Member) -> bool:
        """Add a member to the table."""
        if len(self.entries) >= MAXIMUM_MEMBERS:
            logger.bind(peer=member.name).error("too_many_members")
            return False
        entry = MemberEntry(member)
        self.machine.add_model(entry, initial=member.state.name)
        self.entries[member.name] = entry
        self.live_count += is_live(member)
        self.notify_subscribers(member)
        return True

    def update_entry(self, entry: MemberEntry, member: Member) -> None:
        """Update an entry to a newer description."""
        model: Any = entry
        if member.incarnation > entry.member.incarnation:
            # A new incarnation starts a new life cycle.
            model.become_alive()
        getattr(model, TRIGGERS[member.state])()
        self.live_count += is_live(member) - is_live(entry.member)
        entry.member = member
        entry.digest = hash_member(member)
        entry.changed_at_s = now_s()
        self.notify_subscribers(member)

    def refute(self, offered: Member) -> bool:
        """Increase the local incarnation if another's view of this proxy differs.

        Args:
            offered: Another proxy's description of this one.

        Returns:
            Whether the local description changed.
        """
        if offered == self.local or offered.incarnation < self.local.incarnation:
            return False
        self.local = replace(self.local, incarnation=offered.incarnation + 1)
        self.notify_subscribers(self.local)
        return True

    def mark_leaving(self) -> Member:
        """Mark this proxy as leaving.

        Returns:
            The local description, for the peers.
        """
        if self.local.state is not MemberState.LEAVING:
            self.local = replace(
                self.local,
                incarnation=self.local.incarnation + 1,
                state=MemberState.LEAVING,
            )
            self.live_count -= 1
            self.notify_subscribers(self.local)
        return self.local

    def mark_suspect(self, name: str) -> None:
        """Mark a member as suspect that neither this proxy nor its peers reach."""
        entry = self.entries[name]
        if entry.member.state is MemberState.ALIVE:
            self.merge(replace(entry.member, state=MemberState.SUSPECT))

    def declare_dead(self, name: str) -> None:
        """Mark a member as dead that has been silent for too long."""
        self.merge(replace(self.entries[name].member, state=MemberState.DEAD))

    def remove_dead(self) -> None:
        """Remove members that have been dead for a long time."""
        limit_s = now_s() - REMOVE_DEAD_AFTER_S
        for name, entry in list(self.entries.items()):
            if entry.member.state is MemberState.DEAD and entry.changed_at_s < limit_s:
                self.machine.remove_model(entry)
                del self.entries[name]

    def record_contact(self, name: str, interval_s: float | None = None) -> None:
        """Record direct contact with a member.

        Args:
            name: Its name.
            interval_s: Seconds to its next heartbeat, if it announced that.
        """
        entry = self.entries.get(name)
        if entry is None:
            return
        entry.last_contact_at_s = now_s()
        if interval_s is not None:
            entry.interval_s = interval_s

    def stop_monitoring(self, name: str) -> None:
        """Expect no more heartbeats from a member; its neighbours monitor it."""
        entry = self.entries.get(name)
        if entry is not None:
            entry.last_contact_at_s = None

    def restart_silence_timers(self) -> None:
        """Restart the measurement of silence after a pause of this process."""
        for entry in self.entries.values():
            if entry.last_contact_at_s is not None:
                entry.last_contact_at_s = now_s()
            entry.changed_at_s = max(entry.changed_at_s, now_s())

    def notify_subscribers(self, member: Member) -> None:
        """Log a change and notify the subscribers."""
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
    """Return a member's name, as a sort key."""
    return member.name
