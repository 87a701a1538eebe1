"""Which VMs are leaving, as the platform's list or a peer tells."""

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
    """Knows the leaving VMs and tells the peers and the subscribers of changes.

    Attributes:
        hub: Links to the peers.
        vm_list: The platform's VM list.
        reported: Leaving VMs that the subscribers were last told of.
        callbacks: Called when the set of leaving VMs changed.
    """

    __slots__ = ("hub", "vm_list", "reported", "callbacks")

    def __init__(self, store: ConsulStore, hub: PeerHub) -> None:
        self.hub = hub
        self.vm_list = VmList(store)
        self.reported: frozenset[str] = frozenset()
        self.callbacks: list[Callable[[], None]] = []
        hub.register_handler(VmNews, self.receive_news)
        hub.link_callbacks.append(self.tell_peer)

    @property
    def names(self) -> frozenset[str]:
        """Names of the leaving VMs, as last heard."""
        return self.vm_list.leaving

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function when the set of leaving VMs changed."""
        self.callbacks.append(callback)

    async def watch(self, wait_s: float) -> Result[bool, StoreError]:
        """Wait once for a change of the VM list.

        Args:
            wait_s: Seconds after which the store answers in any case.

        Returns:
            Whether there is a list to wait for, or why that isn't known.
        """
        before = self.names
        answer = await self.vm_list.watch(wait_s)
        return answer.map(lambda listing: self.take_listing(listing, before))

    def take_listing(self, listing: VmListing, before: frozenset[str]) -> bool:
        """Tell everybody when the set of leaving VMs changed."""
        if listing.leaving != before:
            self.hub.broadcast(self.build_news())
            self.report()
        return listing.index > 0

    def build_news(self) -> VmNews:
        """Build the message that tells peers of the leaving VMs."""
        return VmNews(self.vm_list.listing.index, tuple(sorted(self.names)))

    async def receive_news(self, link: PeerLink, news: VmNews) -> None:
        """Take over what a watcher heard of the VM list."""
        before = self.names
        listing = VmListing(news.index, frozenset(news.leaving))
        if self.vm_list.update_if_newer(listing) and listing.leaving != before:
            self.report()

    def tell_peer(self, link: PeerLink) -> None:
        """Tell a new peer of the leaving VMs."""
        if self.names:
            link.send(self.build_news())

    def report(self) -> None:
        """Log the leaving VMs and tell the subscribers, once for each change."""
        # A watch and a peer may bring the same change.
        if self.names == self.reported:
            return
        self.reported = self.names
        logger.bind(leaving=sorted(self.names)).info("leaving_vms_changed")
        for callback in tuple(self.callbacks):
            callback()
