"""All links of one proxy: listening, dialling, asking and broadcasting."""

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
from ebonyrack.peers.contacts import Contacts
from ebonyrack.peers.flood import FloodRelay
from ebonyrack.peers.frames import Traffic
from ebonyrack.peers.handshake import build_hello
from ebonyrack.peers.heartbeat import HeartbeatTask
from ebonyrack.peers.link import PeerLink
from ebonyrack.peers.link import PeerLostError
from ebonyrack.peers.link import dial
from ebonyrack.peers.link_messages import Failure
from ebonyrack.peers.link_messages import Unlink
from ebonyrack.peers.member import Member
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.member_messages import Leaving
from ebonyrack.peers.membership import Membership
from ebonyrack.peers.message import Message
from ebonyrack.peers.silence import SilenceWatch

MAXIMUM_ACCEPTED = 600
FLUSH_LIMIT_S = 0.5
PROXY_ROLE = "proxy"
QUERY_ROLE = "query"
OPERATOR_ROLE = "operator"

Callback = Callable[[PeerLink, Any], Awaitable[Message | None]]


class PeerHub(Component):
    """The links to the other proxies: an async context manager.

    Attributes:
        settings: Settings of the process.
        membership: Table of proxies, filled by heartbeats; set while open.
        links: Link to each peer by its name.
        traffic: Counters of all links.
        revision: Revision of the document that heartbeats carry.
        heard_at_s: Time of the last heartbeat of any peer, 0 if there was none.
        link_callbacks: Called with each new link to a peer.
        pause_callbacks: Called with the seconds for which this process was paused.
        server: Listener; set while open.
        is_closing: Whether this proxy closes its links itself.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.links: dict[str, PeerLink] = {}
        self.traffic = Traffic()
        self.revision = 0
        self.heard_at_s = 0.0
        self.handlers: dict[type[Message], list[Callback]] = {}
        self.link_callbacks: list[Callable[[PeerLink], None]] = []
        self.pause_callbacks: list[Callable[[float], None]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.membership = Membership(settings.proxy, settings.proxy.peer_address)
        self.contacts = Contacts(self)
        self.heartbeat = HeartbeatTask(self)
        self.silence = SilenceWatch(self)
        self.floods = FloodRelay(self)
        self.server: asyncio.Server | None = None
        self.accepted = 0
        self.is_closing = False
        self.register_handler(Leaving, self.receive_leaving)
        self.register_handler(Unlink, self.receive_unlink)

    async def start(self) -> None:
        """Listen, dial and beat."""
        address = self.settings.proxy.peer_address
        self.server = await asyncio.start_server(
            self.accept, address.host, address.port
        )
        port = self.server.sockets[0].getsockname()[1]
        self.membership.set_address(Address(address.host, port))
        self.membership.subscribe(self.close_dead)
        await self.contacts.start()
        await self.heartbeat.start()

    async def stop(self) -> None:
        """End all links and tasks."""
        self.is_closing = True
        await self.heartbeat.stop()
        await self.contacts.stop()
        if self.server is not None:
            self.server.close()
        await end_tasks(self.tasks)
        if self.server is not None:
            await self.server.wait_closed()

    @property
    def address(self) -> Address:
        """Where this proxy listens for peers."""
        return self.membership.local.address

    def register_handler(self, message_type: type[Message], callback: Callback) -> None:
        """Register a coroutine for a type of message.

        Args:
            message_type: The type.
            callback: Called with the link and the message; the first reply that
                a callback of the type returns answers a request.
        """
        self.handlers.setdefault(message_type, []).append(callback)

    async def dispatch(self, link: PeerLink, message: Message) -> Message | None:
        """Call what is registered for a message.

        Args:
            link: Link on which it came.
            message: The message.

        Returns:
            The reply, if one is due.
        """
        callbacks = self.handlers.get(type(message))
        if callbacks is None:
            return Failure(f"{type(message).__name__} is not handled here")
        reply = None
        for callback in callbacks:
            answer = await callback(link, message)
            reply = reply or answer
        return reply

    def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Start the task of an incoming link."""
        if self.accepted >= MAXIMUM_ACCEPTED:
            logger.bind(limit=MAXIMUM_ACCEPTED).warning("too_many_peer_links")
            writer.transport.abort()
            return
        link = self.build_link(reader, writer)
        self.own_task(self.run_accepted(link))

    def own_task(self, coroutine: Any) -> asyncio.Task[None]:
        """Start a task that ends with the hub."""
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
        self.accepted += 1
        try:
            await self.run_link(link)
        except PeerLostError as error:
            logger.bind(reason=error.reason).warning("peer_refused")
        finally:
            self.accepted -= 1

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
        """Open a link, use it if it is a proxy's, and wait until it ends."""
        async with link:
            role = link.remote.role if link.remote is not None else ""
            if role == PROXY_ROLE and not self.adopt(link):
                return
            try:
                await link.is_closed.wait()
            finally:
                self.drop(link)

    def adopt(self, link: PeerLink) -> bool:
        """Make a link the one to its peer, unless the present one is to be kept.

        Args:
            link: A link that is open.

        Returns:
            Whether it is the one from now on.
        """
        name = link.member.name
        if name == self.membership.local.name:
            return False
        present = self.links.get(name)
        if present is not None and not self.is_better(link, present):
            return False
        if present is not None:
            present.close()
        self.links[name] = link
        self.membership.merge(link.member)
        self.membership.note_heard(name)
        self.contacts.note_linked(link.member.address)
        self.heartbeat.start_link(link)
        for callback in self.link_callbacks:
            callback(link)
        return True

    def is_better(self, link: PeerLink, present: PeerLink) -> bool:
        """Tell whether a new link to a peer replaces the present one.

        Both sides decide alike: when each has dialled the other, the link of the
        one with the lower name stays.
        """
        if link.member.incarnation > present.member.incarnation:
            return True
        silence_s = now_s() - present.heard_at_s
        if silence_s > self.settings.peers.suspect_after_s:
            return True
        if link.is_dialler == present.is_dialler:
            return True
        return link.is_dialler == (self.membership.local.name < link.member.name)

    def drop(self, link: PeerLink) -> None:
        """Forget a link that ended; look after a peer whose link broke."""
        if link.remote is None or self.links.get(link.member.name) is not link:
            return
        name = link.member.name
        del self.links[name]
        self.contacts.wake()
        if link.is_unlinked:
            self.membership.stop_listening(name)
        elif not self.is_closing:
            self.silence.start_check(name)

    def unlink(self, link: PeerLink) -> None:
        """Close a link that is needed no more, without a doubt about the peer."""
        link.is_unlinked = True
        link.send(Unlink())
        link.close()

    async def receive_unlink(self, link: PeerLink, message: Unlink) -> None:
        """Close a link that the other side needs no more."""
        link.is_unlinked = True
        link.close()

    def close_dead(self, member: Member) -> None:
        """Close the link to a member that is held for dead."""
        link = self.links.get(member.name)
        if link is not None and member.state is MemberState.DEAD:
            link.close()

    async def request(
        self, peer_name: str, message: Message, timeout_s: float
    ) -> Message:
        """Ask one peer, over a link of its own if there is none yet.

        Args:
            peer_name: Name of the member.
            message: The request.
            timeout_s: Seconds to wait in all.

        Returns:
            The reply.

        Raises:
            PeerLostError: If the peer can't be reached or doesn't answer in time.
        """
        link = self.links.get(peer_name)
        if link is not None:
            return await link.request(message, timeout_s)
        member = self.membership.find(peer_name)
        if member is None:
            raise PeerLostError(f"{peer_name} is not known")
        try:
            async with asyncio.timeout(timeout_s):
                return await self.ask_address(member.address, message, timeout_s)
        except TimeoutError:
            raise PeerLostError(f"no reply within {timeout_s} s") from None

    async def ask_address(
        self, address: Address, message: Message, timeout_s: float
    ) -> Message:
        """Ask over a link that lasts for one request."""
        hello = build_hello(self.membership.local, QUERY_ROLE)
        secret = self.settings.peers.secret
        link = await dial(address, hello, secret, traffic=self.traffic)
        async with link:
            return await link.request(message, timeout_s)

    def tell(self, peer_name: str, message: Message) -> None:
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
            message: The message; peers pass it on while not all are linked.
        """
        self.floods.broadcast(message)

    async def receive_leaving(self, link: PeerLink, leaving: Leaving) -> None:
        """Take note of a proxy that shuts down."""
        self.membership.merge(leaving.member)

    async def announce_leaving(self) -> None:
        """Tell the peers that this proxy shuts down, and wait until it is sent."""
        self.broadcast(Leaving(self.membership.leave()))
        try:
            async with asyncio.timeout(FLUSH_LIMIT_S):
                for link in tuple(self.links.values()):
                    await link.flush()
        except TimeoutError:
            logger.warning("leaving_not_told_to_all")
