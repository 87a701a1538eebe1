"""Selection of the peers that a proxy is linked to, and dialling of them."""

from __future__ import annotations

import asyncio
import heapq
import random
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.peers.member import Member
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.request_link import PeerLostError

if TYPE_CHECKING:
    from ebonyrack.peers.hub import PeerHub

FULL_MESH_LIMIT = 8
NEIGHBOURS = 4
FIRST_BACKOFF_S = 0.1
MAXIMUM_BACKOFF_S = 2.0
RANDOM_DIAL_INTERVAL_S = 5.0
CHECK_INTERVAL_S = 0.5
HIGHER_NAME_DELAY_S = 0.3
UNNEEDED_AFTER_S = 10.0


@dataclass(slots=True)
class DialState:
    """State of the attempts to dial one address.

    Attributes:
        next_dial_at_s: Earliest time of the next attempt.
        backoff_s: Seconds to wait after the next failure, before jitter.
        task: Dials and then serves the link, or None.
    """

    next_dial_at_s: float
    backoff_s: float = FIRST_BACKOFF_S
    task: asyncio.Task[None] | None = None

    @property
    def is_active(self) -> bool:
        """Whether a link is being dialled or served."""
        return self.task is not None and not self.task.done()


class PeerDialler(Component):
    """Dials the peers that a proxy needs links to: an async context manager.

    Up to `FULL_MESH_LIMIT` proxies form a full mesh. Above that, each dials
    `NEIGHBOURS` others, chosen by a hash of both names, and messages are relayed
    over these links; at intervals it also dials a random member without a link, so
    that the two sides of a healed partition find each other.

    Attributes:
        hub: Links of this proxy.
        dial_states: State of the attempts by address.
        next_random_dial_at_s: Time of the next attempt to reach a random member
            without a link.
    """

    def __init__(self, hub: PeerHub) -> None:
        self.hub = hub
        self.dial_states: dict[Address, DialState] = {}
        self.next_random_dial_at_s = now_s() + RANDOM_DIAL_INTERVAL_S
        self.wake_event = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the dialling task."""
        self.hub.membership.subscribe(self.handle_member_change)
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop the dialling task."""
        await end_tasks([self.task])

    @property
    def is_sparse(self) -> bool:
        """Whether there are too many proxies for a full mesh."""
        return self.hub.membership.live_count > FULL_MESH_LIMIT

    def handle_member_change(self, member: Member) -> None:
        """Re-evaluate which peers to dial after a membership change."""
        self.wake()

    def wake(self) -> None:
        """Wake the dialling task to re-evaluate which peers to dial."""
        self.wake_event.set()

    def reset_backoff(self, address: Address) -> None:
        """Reset the backoff of an address to which a link was opened."""
        dial_state = self.dial_states.get(address)
        if dial_state is not None:
            dial_state.backoff_s = FIRST_BACKOFF_S

    async def run(self) -> None:
        """Dial missing links while the hub is open."""
        while True:
            self.wake_event.clear()
            members = self.choose_neighbours()
            for address in self.find_missing_links(members):
                self.dial_if_due(address)
            self.remove_unknown_addresses()
            self.close_unneeded_links(members)
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S * random.uniform(0.8, 1)):
                    await self.wake_event.wait()
                # Handle a burst of changes in one pass.
                await asyncio.sleep(FIRST_BACKOFF_S / 2)
            except TimeoutError:
                continue

    def close_unneeded_links(self, members: list[Member]) -> None:
        """Close links that this proxy dialled and no longer needs.

        The other side dials by itself if it needs the link.

        Args:
            members: Members that this proxy should be linked to.
        """
        if not self.is_sparse:
            return
        needed = {member.name for member in members}
        oldest_s = now_s() - UNNEEDED_AFTER_S
        for name, link in tuple(self.hub.links.items()):
            is_old = link.opened_at_s < oldest_s
            if link.is_dialler and is_old and name not in needed:
                self.hub.unlink(link)

    def find_missing_links(self, members: list[Member]) -> list[Address]:
        """Return the addresses to which a needed link is missing.

        Args:
            members: Members that this proxy should be linked to.
        """
        membership = self.hub.membership
        linked = {link.member.address for link in self.hub.links.values()}
        wanted = [member.address for member in members]
        if not self.is_sparse or not self.hub.links:
            wanted.extend(self.hub.settings.peers.seeds)
        wanted.extend(self.choose_random_address(linked))
        local = membership.local.address
        return [
            address
            for address in dict.fromkeys(wanted)
            if address != local and address not in linked
        ]

    def choose_neighbours(self) -> list[Member]:
        """Return the members that this proxy should be linked to."""
        membership = self.hub.membership
        others = [entry.member for entry in membership.entries.values()]
        live = [member for member in others if member.state < MemberState.DEAD]
        if not self.is_sparse:
            return live
        local_name = membership.local.name
        return heapq.nsmallest(
            NEIGHBOURS, live, key=lambda other: rank_neighbour(local_name, other.name)
        )

    def choose_random_address(self, linked: set[Address]) -> list[Address]:
        """Return one random address per interval, otherwise none.

        It is that of a member without a link, or a seed.
        """
        if now_s() < self.next_random_dial_at_s:
            return []
        self.next_random_dial_at_s = now_s() + RANDOM_DIAL_INTERVAL_S * random.uniform(
            0.8, 1.2
        )
        addresses = [
            entry.member.address
            for entry in self.hub.membership.entries.values()
            if entry.member.address not in linked
        ]
        addresses.extend(self.hub.settings.peers.seeds)
        return [random.choice(addresses)] if addresses else []

    def dial_if_due(self, address: Address) -> None:
        """Start dialling an address unless an attempt is active or not yet due."""
        dial_state = self.dial_states.get(address)
        if dial_state is None:
            dial_state = DialState(now_s() + self.choose_initial_delay(address))
            self.dial_states[address] = dial_state
        if dial_state.is_active or now_s() < dial_state.next_dial_at_s:
            return
        dial_state.task = self.hub.start_task(self.dial(address, dial_state))

    def choose_initial_delay(self, address: Address) -> float:
        """Return how long to wait for the other side to dial first, in seconds."""
        for entry in self.hub.membership.entries.values():
            if entry.member.address == address:
                is_higher = self.hub.membership.local.name > entry.member.name
                return HIGHER_NAME_DELAY_S if is_higher else 0.0
        return 0.0

    async def dial(self, address: Address, dial_state: DialState) -> None:
        """Dial an address, serve the link, and schedule the next attempt."""
        try:
            await self.hub.dial_peer(address)
        except PeerLostError as error:
            logger.bind(address=str(address), reason=error.reason).debug(
                "peer_not_reached"
            )
        finally:
            dial_state.next_dial_at_s = now_s() + dial_state.backoff_s * random.uniform(
                0.5, 1.5
            )
            dial_state.backoff_s = min(2 * dial_state.backoff_s, MAXIMUM_BACKOFF_S)

    def remove_unknown_addresses(self) -> None:
        """Remove the state of addresses that belong to no member or seed."""
        known = {member.address for member in self.hub.membership.all_members()}
        known.update(self.hub.settings.peers.seeds)
        for address, dial_state in list(self.dial_states.items()):
            if address not in known and not dial_state.is_active:
                del self.dial_states[address]


def rank_neighbour(name: str, other: str) -> int:
    """Return a member's rank as a neighbour, which is stable across processes."""
    return zlib.crc32(f"{name} {other}".encode())
