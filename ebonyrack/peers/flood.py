"""Flooding of one-way messages to every proxy, relayed from peer to peer."""

from __future__ import annotations

import secrets
from collections import OrderedDict
from typing import TYPE_CHECKING

from loguru import logger

from ebonyrack.peers.codec import build_message
from ebonyrack.peers.link import PeerLink
from ebonyrack.peers.link_messages import Flood
from ebonyrack.peers.message import MESSAGE_CODES
from ebonyrack.peers.message import BadMessageError
from ebonyrack.peers.message import Message
from ebonyrack.peers.message import get_fields

if TYPE_CHECKING:
    from ebonyrack.peers.hub import PeerHub

MAXIMUM_SEEN_FLOODS = 4096
IDENTITY_BITS = 48


class FloodRelay:
    """Broadcasts messages to all proxies and relays those of others, each once.

    Attributes:
        hub: Links of this proxy.
        seen: Identities of recent messages, oldest first.
    """

    __slots__ = ("hub", "seen")

    def __init__(self, hub: PeerHub) -> None:
        self.hub = hub
        self.seen: OrderedDict[int, None] = OrderedDict()
        hub.register_handler(Flood, self.receive)

    def broadcast(self, message: Message) -> None:
        """Send a one-way message to all proxies.

        Args:
            message: The message; peers relay it unless the links form a full mesh.
        """
        identity = secrets.randbits(IDENTITY_BITS)
        self.record_identity(identity)
        code = MESSAGE_CODES[type(message)]
        self.hub.send_to_links(Flood(identity, code, get_fields(message)), None)

    def record_identity(self, identity: int) -> bool:
        """Record a flooded message; return whether it was seen before."""
        if identity in self.seen:
            return True
        self.seen[identity] = None
        if len(self.seen) > MAXIMUM_SEEN_FLOODS:
            self.seen.popitem(last=False)
        return False

    async def receive(self, link: PeerLink, flood: Flood) -> Message | None:
        """Relay and handle a flooded message the first time it arrives."""
        if self.record_identity(flood.identity):
            return None
        try:
            message = build_message(flood.code, flood.fields)
        except BadMessageError as error:
            logger.bind(reason=str(error)).warning("peer_sent_bad_message")
            return None
        if self.hub.dialler.is_sparse:
            self.hub.send_to_links(flood, link)
        if not isinstance(message, Flood):
            await self.hub.dispatch(link, message)
        return None
