"""Which peers a proxy keeps links to, and when it dials them."""

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
from ebonyrack.peers.link import PeerLostError
from ebonyrack.peers.member import Member
from ebonyrack.peers.member import MemberState

if TYPE_CHECKING:
    from ebonyrack.peers.hub import PeerHub

FULL_MESH_LIMIT = 8
NEIGHBOURS = 4
FIRST_BACKOFF_S = 0.1
MAXIMUM_BACKOFF_S = 2.0
RECONTACT_INTERVAL_S = 5.0
CHECK_INTERVAL_S = 0.5
HIGHER_NAME_DELAY_S = 0.3
UNNEEDED_AFTER_S = 10.0


@dataclass(slots=True)
class Contact:
    """Attempts to reach one address.

    Attributes:
        next_at_s: Time before which it isn't dialled.
        backoff_s: Seconds to wait after the next failure, before jitter.
        task: Dials and then serves the link, or None.
    """

    next_at_s: float
    backoff_s: float = FIRST_BACKOFF_S
    task: asyncio.Task[None] | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a link is being dialled or served."""
        return self.task is not None and not self.task.done()


class Contacts(Component):
    """Dials the peers that a proxy wants links to: an async context manager.

    Up to `FULL_MESH_LIMIT` proxies each is linked to all others. Above it each
    dials `NEIGHBOURS` others, chosen by a hash of both names, and news travels
    over these links; now and then it also tries a member without a link, so that
    the two sides of a healed partition meet.

    Attributes:
        hub: Links of this proxy.
        contacts: Attempts by address.
        recontact_at_s: Time of the next try of a member without a link.
    """

    def __init__(self, hub: PeerHub) -> None:
        self.hub = hub
        self.contacts: dict[Address, Contact] = {}
        self.recontact_at_s = now_s() + RECONTACT_INTERVAL_S
        self.woken = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to dial."""
        self.hub.membership.subscribe(self.notice_change)
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """End the task that dials."""
        await end_tasks([self.task])

    @property
    def is_sparse(self) -> bool:
        """Whether there are too many proxies for links between all."""
        return self.hub.membership.live_count > FULL_MESH_LIMIT

    def notice_change(self, member: Member) -> None:
        """Look again whom to dial after a change of the members."""
        self.wake()

    def wake(self) -> None:
        """Look again whom to dial."""
        self.woken.set()

    def note_linked(self, address: Address) -> None:
        """Forget the failures of an address to which a link opened."""
        contact = self.contacts.get(address)
        if contact is not None:
            contact.backoff_s = FIRST_BACKOFF_S

    async def run(self) -> None:
        """Dial wanted peers for as long as the hub is open."""
        while True:
            self.woken.clear()
            members = self.choose_members()
            for address in self.find_wanted(members):
                self.dial_if_due(address)
            self.forget_unwanted()
            self.close_unneeded(members)
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S * random.uniform(0.8, 1)):
                    await self.woken.wait()
                # Several changes at once are one reason to look again.
                await asyncio.sleep(FIRST_BACKOFF_S / 2)
            except TimeoutError:
                continue

    def close_unneeded(self, members: list[Member]) -> None:
        """Close links that this proxy dialled and needs no more.

        The other side dials for itself if it needs the link.

        Args:
            members: The members to be linked to.
        """
        if not self.is_sparse:
            return
        needed = {member.name for member in members}
        oldest_s = now_s() - UNNEEDED_AFTER_S
        for name, link in tuple(self.hub.links.items()):
            is_old = link.opened_at_s < oldest_s
            if link.is_dialler and is_old and name not in needed:
                self.hub.unlink(link)

    def find_wanted(self, members: list[Member]) -> list[Address]:
        """Return the addresses to which a link is wanted and missing.

        Args:
            members: The members to be linked to.
        """
        membership = self.hub.membership
        linked = {link.member.address for link in self.hub.links.values()}
        wanted = [member.address for member in members]
        if not self.is_sparse or not self.hub.links:
            wanted.extend(self.hub.settings.peers.seeds)
        wanted.extend(self.choose_recontact(linked))
        own = membership.local.address
        return [
            address
            for address in dict.fromkeys(wanted)
            if address != own and address not in linked
        ]

    def choose_members(self) -> list[Member]:
        """Return the members to be linked to."""
        membership = self.hub.membership
        others = [entry.member for entry in membership.entries.values()]
        live = [member for member in others if member.state < MemberState.DEAD]
        if not self.is_sparse:
            return live
        own_name = membership.local.name
        return heapq.nsmallest(
            NEIGHBOURS, live, key=lambda other: rank_pair(own_name, other.name)
        )

    def choose_recontact(self, linked: set[Address]) -> list[Address]:
        """Return now and then the address of a member without a link."""
        if now_s() < self.recontact_at_s:
            return []
        self.recontact_at_s = now_s() + RECONTACT_INTERVAL_S * random.uniform(0.8, 1.2)
        addresses = [
            entry.member.address
            for entry in self.hub.membership.entries.values()
            if entry.member.address not in linked
        ]
        addresses.extend(self.hub.settings.peers.seeds)
        return [random.choice(addresses)] if addresses else []

    def dial_if_due(self, address: Address) -> None:
        """Start to dial an address unless it is busy or was tried just now."""
        contact = self.contacts.get(address)
        if contact is None:
            contact = Contact(now_s() + self.choose_delay(address))
            self.contacts[address] = contact
        if contact.is_busy or now_s() < contact.next_at_s:
            return
        contact.task = self.hub.own_task(self.dial(address, contact))

    def choose_delay(self, address: Address) -> float:
        """Return how long to leave the first attempt to the other side, in seconds."""
        for entry in self.hub.membership.entries.values():
            if entry.member.address == address:
                is_higher = self.hub.membership.local.name > entry.member.name
                return HIGHER_NAME_DELAY_S if is_higher else 0.0
        return 0.0

    async def dial(self, address: Address, contact: Contact) -> None:
        """Dial an address, serve the link, and set when to try again."""
        try:
            await self.hub.dial_peer(address)
        except PeerLostError as error:
            logger.bind(address=str(address), reason=error.reason).debug(
                "peer_not_reached"
            )
        finally:
            contact.next_at_s = now_s() + contact.backoff_s * random.uniform(0.5, 1.5)
            contact.backoff_s = min(2 * contact.backoff_s, MAXIMUM_BACKOFF_S)

    def forget_unwanted(self) -> None:
        """Drop the attempts at addresses that nobody has any more."""
        known = {member.address for member in self.hub.membership.all_members()}
        known.update(self.hub.settings.peers.seeds)
        for address, contact in list(self.contacts.items()):
            if address not in known and not contact.is_busy:
                del self.contacts[address]


def rank_pair(name: str, other: str) -> int:
    """Return the rank of a member as a neighbour, the same on every run."""
    return zlib.crc32(f"{name} {other}".encode())
