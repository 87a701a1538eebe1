"""All links of one proxy: listening, dialling, requests and broadcasts."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from loguru import logger

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.settings import Settings
from ebonyrack.core.tasks import end_tasks
from ebonyrack.peers.dialler import PeerDialler
from ebonyrack.peers.failure_detector import FailureDetector
from ebonyrack.peers.flood import FloodRelay
from ebonyrack.peers.frames import Traffic
from ebonyrack.peers.handshake import build_hello
from ebonyrack.peers.heartbeat import HeartbeatTask
from ebonyrack.peers.link import PeerLink
from ebonyrack.peers.link import dial
from ebonyrack.peers.link_messages import Unlink
from ebonyrack.peers.member import Member
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.member_messages import Leaving
from ebonyrack.peers.membership import Membership
from ebonyrack.peers.message import Message
from ebonyrack.peers.reply_messages import Failure
from ebonyrack.peers.request_link import PeerLostError

MAXIMUM_ACCEPTED_LINKS = 600
FLUSH_TIMEOUT_S = 0.5
PROXY_ROLE = "proxy"
QUERY_ROLE = "query"
OPERATOR_ROLE = "operator"

MessageHandler = Callable[[PeerLink, Any], Awaitable[Message | None]]


class PeerHub(Component):
    """Manages the links to the other proxies: an async context manager.

    Attributes:
        settings: Settings of the process.
        membership: Table of proxies, filled by heartbeats.
        links: Link to each peer by its name.
        traffic: Counters of all links.
        revision: Revision of the document that heartbeats carry.
        last_heartbeat_at_s: Time of the last heartbeat of any peer, 0 if there was
            none.
        link_callbacks: Called with each new link to a peer.
        pause_callbacks: Called with the seconds for which this process was paused.
        server: Listener; set while open.
        is_closing: Whether the hub is stopping and closes its links itself.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.links: dict[str, PeerLink] = {}
        self.traffic = Traffic()
        self.revision = 0
        self.last_heartbeat_at_s = 0.0
        self.handlers: dict[type[Message], list[MessageHandler]] = {}
        self.link_callbacks: list[Callable[[PeerLink], None]] = []
        self.pause_callbacks: list[Callable[[float], None]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.membership = Membership(settings.proxy, settings.proxy.peer_address)
        self.dialler = PeerDialler(self)
        self.heartbeat = HeartbeatTask(self)
        self.failure_detector = FailureDetector(self)
        self.flood_relay = FloodRelay(self)
        self.server: asyncio.Server | None = None
        self.accepted_count = 0
        self.is_closing = False
        self.register_handler(Leaving, self.receive_leaving)
        self.register_handler(Unlink, self.receive_unlink)

    async def start(self) -> None:
        """Start to listen, to dial and to send heartbeats."""
        address = self.settings.proxy.peer_address
        self.server = await asyncio.start_server(
            self.accept, address.host, address.port
        )
        port = self.server.sockets[0].getsockname()[1]
        self.membership.set_address(Address(address.host, port))
        self.membership.subscribe(self.close_dead_link)
        await self.dialler.start()
        await self.heartbeat.start()

    async def stop(self) -> None:
        """Close all links and stop all tasks."""
        self.is_closing = True
        await self.heartbeat.stop()
        await self.dialler.stop()
        if self.server is not None:
            self.server.close()
        await end_tasks(self.tasks)
        if self.server is not None:
            await self.server.wait_closed()

    @property
    def address(self) -> Address:
        """Where this proxy listens for peers."""
        return self.membership.local.address

    def register_handler(
        self, message_type: type[Message], handler: MessageHandler
    ) -> None:
        """Register a handler for a type of message.

        Args:
            message_type: The type.
            handler: Called with the link and the message; the first reply that a
                handler of the type returns is the reply to a request.
        """
        self.handlers.setdefault(message_type, []).append(handler)

    async def dispatch(self, link: PeerLink, message: Message) -> Message | None:
        """Call the handlers that are registered for a message.

        Args:
            link: Link on which it arrived.
            message: The message.

        Returns:
            The first reply, or None if no handler replied.
        """
        handlers = self.handlers.get(type(message))
        if handlers is None:
            return Failure(f"{type(message).__name__} is not handled here")
        reply = None
        for handler in handlers:
            answer = await handler(link, message)
            reply = reply or answer
        return reply

    def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Start to serve an incoming link."""
        if self.accepted_count >= MAXIMUM_ACCEPTED_LINKS:
            logger.bind(limit=MAXIMUM_ACCEPTED_LINKS).warning("too_many_peer_links")
            writer.transport.abort()
            return
        link = self.build_link(reader, writer)
        self.start_task(self.run_accepted(link))

    def start_task(self, coroutine: Any) -> asyncio.Task[None]:
        """Start a task that is cancelled when the hub stops."""
        task: asyncio.Task[None] = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def build_link(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> PeerLink:
        """Build the listening side of a link."""
        return PeerLink(
            reader,
            writer,
            build_hello(self.membership.local, PROXY_ROLE),
            False,
            self.settings.peers.secret,
            self.dispatch,
            self.traffic,
        )

    async def run_accepted(self, link: PeerLink) -> None:
        """Serve an incoming link until it ends."""
        self.accepted_count += 1
        try:
            await self.run_link(link)
        except PeerLostError as error:
            logger.bind(reason=error.reason).warning("peer_refused")
        finally:
            self.accepted_count -= 1

    async def dial_peer(self, address: Address) -> None:
        """Open a link to another proxy and serve it until it ends.

        Args:
            address: Its peer address.

        Raises:
            PeerLostError: If the link can't be opened.
        """
        link = await dial(
            address,
            build_hello(self.membership.local, PROXY_ROLE),
            self.settings.peers.secret,
            self.dispatch,
            self.traffic,
        )
        await self.run_link(link)

    async def run_link(self, link: PeerLink) -> None:
        """Open a link, register it if it is a proxy's, and wait until it ends."""
        async with link:
            role = link.remote.role if link.remote is not None else ""
            if role == PROXY_ROLE and not self.register_link(link):
                return
            try:
                await link.is_closed.wait()
            finally:
                self.remove_link(link)

    def register_link(self, link: PeerLink) -> bool:
        """Register the link to a peer, unless the current one is to be kept.

        Args:
            link: A link that is open.

        Returns:
            Whether it is the peer's registered link from now on.
        """
        name = link.member.name
        if name == self.membership.local.name:
            return False
        current = self.links.get(name)
        if current is not None and not self.should_replace(link, current):
            return False
        if current is not None:
            current.close()
        self.links[name] = link
        self.membership.merge(link.member)
        self.membership.record_contact(name)
        self.dialler.reset_backoff(link.member.address)
        self.heartbeat.send_first_heartbeat(link)
        for callback in self.link_callbacks:
            callback(link)
        return True

    def should_replace(self, link: PeerLink, current: PeerLink) -> bool:
        """Return whether a new link to a peer should replace the current one.

        Both sides reach the same decision: when each has dialled the other, the
        link dialled by the one with the lower name stays.
        """
        if link.member.incarnation > current.member.incarnation:
            return True
        silence_s = now_s() - current.last_received_at_s
        if silence_s > self.settings.peers.suspect_after_s:
            return True
        if link.is_dialler == current.is_dialler:
            return True
        return link.is_dialler == (self.membership.local.name < link.member.name)

    def remove_link(self, link: PeerLink) -> None:
        """Remove a link that ended; check the peer if the link broke."""
        if link.remote is None or self.links.get(link.member.name) is not link:
            return
        name = link.member.name
        del self.links[name]
        self.dialler.wake()
        if link.is_unlinked:
            self.membership.stop_monitoring(name)
        elif not self.is_closing:
            self.failure_detector.start_check(name)

    def unlink(self, link: PeerLink) -> None:
        """Close a link that is no longer needed, without suspecting the peer."""
        link.is_unlinked = True
        link.send(Unlink())
        link.close()

    async def receive_unlink(self, link: PeerLink, message: Unlink) -> None:
        """Close a link that the other side no longer needs."""
        link.is_unlinked = True
        link.close()

    def close_dead_link(self, member: Member) -> None:
        """Close the link to a member that was declared dead."""
        link = self.links.get(member.name)
        if link is not None and member.state is MemberState.DEAD:
            link.close()

    async def request(
        self, peer_name: str, message: Message, timeout_s: float
    ) -> Message:
        """Send a request to one peer, over a temporary link if there is none.

        Args:
            peer_name: Name of the member.
            message: The request.
            timeout_s: Seconds to wait in all.

        Returns:
            The reply.

        Raises:
            PeerLostError: If the peer can't be reached or doesn't reply in time.
        """
        link = self.links.get(peer_name)
        if link is not None:
            return await link.request(message, timeout_s)
        member = self.membership.find(peer_name)
        if member is None:
            raise PeerLostError(f"{peer_name} is not a known member")
        try:
            async with asyncio.timeout(timeout_s):
                return await self.request_by_address(member.address, message, timeout_s)
        except TimeoutError:
            raise PeerLostError(f"no reply within {timeout_s} s") from None

    async def request_by_address(
        self, address: Address, message: Message, timeout_s: float
    ) -> Message:
        """Send a request over a link that is opened for it alone."""
        hello = build_hello(self.membership.local, QUERY_ROLE)
        secret = self.settings.peers.secret
        link = await dial(address, hello, secret, traffic=self.traffic)
        async with link:
            return await link.request(message, timeout_s)

    def send_to_peer(self, peer_name: str, message: Message) -> None:
        """Send a one-way message to a linked peer; without a link it is dropped."""
        link = self.links.get(peer_name)
        if link is not None:
            link.send(message)

    def send_to_links(self, message: Message, source: PeerLink | None) -> None:
        """Send a one-way message on all links but the one it came from."""
        for link in tuple(self.links.values()):
            if link is not source:
                link.send(message)

    def broadcast(self, message: Message) -> None:
        """Send a one-way message to all proxies.

        Args:
            message: The message; peers relay it unless the links form a full mesh.
        """
        self.flood_relay.broadcast(message)

    async def receive_leaving(self, link: PeerLink, leaving: Leaving) -> None:
        """Record that a proxy shuts down."""
        self.membership.merge(leaving.member)

    async def announce_leaving(self) -> None:
        """Announce to the peers that this proxy shuts down; wait until it is sent."""
        self.broadcast(Leaving(self.membership.mark_leaving()))
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                for link in tuple(self.links.values()):
                    await link.flush()
        except TimeoutError:
            logger.warning("leaving_announcement_timed_out")
