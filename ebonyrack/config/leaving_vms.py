"""The set of leaving VMs, from the platform's list or from a peer."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger
from result import Result

from ebonyrack.peers.document_messages import VmNews
from ebonyrack.peers.hub import PeerHub
from ebonyrack.peers.link import PeerLink
from ebonyrack.store.consul_store import ConsulStore
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.vm_list import VmList
from ebonyrack.store.vm_list import VmListing


class LeavingVms:
    """Tracks the leaving VMs and notifies peers and subscribers of changes.

    Attributes:
        hub: Links to the peers.
        vm_list: The platform's VM list.
        last_notified: Leaving VMs of which the subscribers were last notified.
        callbacks: Called after each change of the set of leaving VMs.
    """

    __slots__ = ("hub", "vm_list", "last_notified", "callbacks")

    def __init__(self, store: ConsulStore, hub: PeerHub) -> None:
        self.hub = hub
        self.vm_list = VmList(store)
        self.last_notified: frozenset[str] = frozenset()
        self.callbacks: list[Callable[[], None]] = []
        hub.register_handler(VmNews, self.receive_news)
        hub.link_callbacks.append(self.send_to_peer)

    @property
    def names(self) -> frozenset[str]:
        """Names of the leaving VMs, as last reported."""
        return self.vm_list.leaving

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a function to call after each change of the set of leaving VMs."""
        self.callbacks.append(callback)

    async def watch(self, wait_s: float) -> Result[bool, StoreError]:
        """Wait once for a change of the VM list.

        Args:
            wait_s: Seconds after which the store answers in any case.

        Returns:
            Whether there is a list to watch, or the store's error.
        """
        before = self.names
        answer = await self.vm_list.watch(wait_s)
        return answer.map(lambda listing: self.announce_if_changed(listing, before))

    def announce_if_changed(self, listing: VmListing, before: frozenset[str]) -> bool:
        """Announce a changed set of leaving VMs; return whether there is a list."""
        if listing.leaving != before:
            self.hub.broadcast(self.build_news())
            self.notify_subscribers()
        return listing.index > 0

    def build_news(self) -> VmNews:
        """Build the message to peers with the leaving VMs."""
        return VmNews(self.vm_list.listing.index, tuple(sorted(self.names)))

    async def receive_news(self, link: PeerLink, news: VmNews) -> None:
        """Apply a newer VM list from a peer that watches it."""
        before = self.names
        listing = VmListing(news.index, frozenset(news.leaving))
        if self.vm_list.update_if_newer(listing) and listing.leaving != before:
            self.notify_subscribers()

    def send_to_peer(self, link: PeerLink) -> None:
        """Send the leaving VMs to a newly linked peer."""
        if self.names:
            link.send(self.build_news())

    def notify_subscribers(self) -> None:
        """Log the leaving VMs and notify the subscribers, once for each change."""
        # A watch and a peer may report the same change.
        if self.names == self.last_notified:
            return
        self.last_notified = self.names
        logger.bind(leaving=sorted(self.names)).info("leaving_vms_changed")
        for callback in tuple(self.callbacks):
            callback()
