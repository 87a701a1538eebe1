"""The links of one proxy for routes to the others, dialled when something is asked."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import TypeVar

from loguru import logger
from msgspec import Struct
from result import Err
from result import Ok
from result import Result

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.route_settings import RouteProxySettings
from ebonyrack.core.socket_options import KEEPALIVE_OPTIONS
from ebonyrack.core.socket_options import connect_socket
from ebonyrack.core.tasks import end_tasks
from ebonyrack.core.tasks import start_loop
from ebonyrack.peers.frames import Traffic
from ebonyrack.peers.message import Message
from ebonyrack.peers.proxy_entry import ProxyEntry
from ebonyrack.peers.proxy_link import LINK_VERSION
from ebonyrack.peers.proxy_link import ProxyLink
from ebonyrack.peers.proxy_link_messages import ProxyHello
from ebonyrack.peers.reply_messages import NotHandled
from ebonyrack.peers.request_link import PeerLostError

MAXIMUM_LINKS = 600
DIAL_TIMEOUT_S = 1.0
# A proxy to which no link could be opened is not dialled again within this time.
DIAL_PAUSE_S = 0.5
CHECK_INTERVAL_S = 0.25
# A link on which an answer is due is checked after this time without any message.
CHECK_AFTER_S = 0.25
# A link that was unused for this long is ended by the side that dialled it.
UNUSED_LIMIT_S = 60.0
END_LIMIT_S = 0.5

AnyMessage = TypeVar("AnyMessage", bound=Message)
QuestionHandler = Callable[[str, AnyMessage], Awaitable[Message | None]]


class LinkFailure(Struct, frozen=True):
    """Why a question has no answer.

    Attributes:
        was_sent: Whether the other proxy may have handled it.
        reason: What happened.
    """

    was_sent: bool
    reason: str


class ProxyLinks(Component):
    """Links to other proxies: an async context manager.

    At most one link between two proxies is used for new questions, whichever of them
    dialled it. If both dial at the same time, it is the one that was dialled by the
    proxy with the lower name; the other link is ended.

    Attributes:
        settings: Settings of the process.
        list_proxies: Returns the live proxies that have an address, by name.
        hello: Hello message of this proxy.
        links: Link to each proxy by its name.
        opened: All links that are open, also those that end.
        handlers: Handler by type of question.
        traffic: Counters of all links.
        loss_callbacks: Called with a proxy's name when a link to it breaks.
        dials: Attempts to open a link, by name of the proxy.
        dial_after_s: Time before which a proxy is not dialled again, by its name.
        server: Listener; None while closed or without an address.
    """

    def __init__(
        self,
        settings: RouteProxySettings,
        list_proxies: Callable[[], Mapping[str, ProxyEntry]],
    ) -> None:
        self.settings = settings
        self.list_proxies = list_proxies
        self.hello = ProxyHello(LINK_VERSION, settings.name, random.getrandbits(48))
        self.links: dict[str, ProxyLink] = {}
        self.opened: dict[ProxyLink, asyncio.Task[None]] = {}
        self.handlers: dict[type[Message], QuestionHandler[Any]] = {}
        self.traffic = Traffic()
        self.loss_callbacks: list[Callable[[str], None]] = []
        self.dials: dict[str, asyncio.Task[ProxyLink]] = {}
        self.dial_after_s: dict[str, float] = {}
        self.server: asyncio.Server | None = None
        self.has_links = asyncio.Event()
        self.check_task: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start to listen, if there is an address for it."""
        address = self.settings.peer_address
        if address is None:
            return
        self.server = await asyncio.start_server(
            self.accept, address.host, address.port
        )
        self.check_task = start_loop(self.check_links)

    async def stop(self) -> None:
        """Answer the questions that are being handled, then end all links."""
        if self.server is not None:
            self.server.close()
        await end_tasks([self.check_task, *self.dials.values()])
        await asyncio.gather(*(link.end(END_LIMIT_S) for link in tuple(self.opened)))
        await end_tasks([*self.opened.values(), *self.tasks])

    def register(
        self, message_type: type[AnyMessage], handler: QuestionHandler[AnyMessage]
    ) -> None:
        """Register the handler of a type of question.

        Args:
            message_type: The type.
            handler: Called with the asking proxy's name and the question; returns the
                answer.
        """
        self.handlers[message_type] = handler

    def subscribe_loss(self, callback: Callable[[str], None]) -> None:
        """Register a function to call with a proxy's name when its link breaks."""
        self.loss_callbacks.append(callback)

    def is_reachable(self, proxy: str) -> bool:
        """Whether a proxy may be asked, as far as is known."""
        if proxy not in self.list_proxies():
            return False
        return now_s() >= self.dial_after_s.get(proxy, 0.0)

    async def ask(
        self, proxy: str, message: Message, timeout_s: float
    ) -> Result[Message, LinkFailure]:
        """Ask another proxy.

        Args:
            proxy: Its name.
            message: The question.
            timeout_s: Seconds to wait for the answer, dialling included.

        Returns:
            The answer, or why there is none.
        """
        deadline_s = now_s() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                link = await self.find_link(proxy)
        except TimeoutError:
            return Err(LinkFailure(False, "no link in time"))
        except PeerLostError as error:
            return Err(LinkFailure(False, error.reason))
        link.used_at_s = now_s()
        try:
            reply = await link.request(message, max(0.0, deadline_s - now_s()))
        except PeerLostError as error:
            return Err(LinkFailure(error.was_sent, error.reason))
        if isinstance(reply, NotHandled):
            return Err(LinkFailure(False, reply.reason))
        return Ok(reply)

    def tell(self, proxy: str, message: Message) -> None:
        """Send a message without an answer; it is dropped without a link."""
        link = self.links.get(proxy)
        if link is not None:
            link.send(message)

    def is_linked(self, proxy: str) -> bool:
        """Whether a link to a proxy is open."""
        link = self.links.get(proxy)
        return link is not None and link.is_usable

    def prepare(self, proxy: str) -> None:
        """Start to open a link to a proxy, unless there is one."""
        if not self.is_linked(proxy) and self.is_reachable(proxy):
            with contextlib.suppress(PeerLostError):
                self.start_dial(proxy)

    async def find_link(self, proxy: str) -> ProxyLink:
        """Return the link to a proxy; dial it if there is none.

        Raises:
            PeerLostError: If there can't be one now.
        """
        link = self.links.get(proxy)
        if link is not None and link.is_usable:
            return link
        return await asyncio.shield(self.start_dial(proxy))

    def start_dial(self, proxy: str) -> asyncio.Task[ProxyLink]:
        """Start to open a link to a proxy, or return the attempt that is under way.

        Raises:
            PeerLostError: If there can't be a link now.
        """
        dial = self.dials.get(proxy)
        if dial is not None:
            return dial
        entry = self.list_proxies().get(proxy)
        if entry is None or self.server is None:
            raise PeerLostError(f"{proxy} has no address for links")
        if now_s() < self.dial_after_s.get(proxy, 0.0):
            raise PeerLostError(f"{proxy} could not be reached lately")
        dial = asyncio.create_task(self.dial(entry))
        self.dials[proxy] = dial
        dial.add_done_callback(lambda ended: self.record_dial(proxy, ended))
        return dial

    async def dial(self, entry: ProxyEntry) -> ProxyLink:
        """Open a link to a proxy."""
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                connection = await connect_socket(entry.address, KEEPALIVE_OPTIONS)
                reader, writer = await asyncio.open_connection(sock=connection)
                link = self.build_link(reader, writer, is_dialler=True)
                await self.open_link(link)
        except (OSError, TimeoutError) as error:
            raise PeerLostError(f"can't reach {entry.name}: {error!r}") from error
        if link.peer_name != entry.name:
            link.close()
            raise PeerLostError(f"{entry.address} is not {entry.name}")
        return self.links.get(entry.name, link)

    def record_dial(self, proxy: str, dial: asyncio.Task[ProxyLink]) -> None:
        """Record the end of an attempt to open a link."""
        self.dials.pop(proxy, None)
        if dial.cancelled():
            return
        error = dial.exception()
        if error is None:
            self.dial_after_s.pop(proxy, None)
            return
        self.dial_after_s[proxy] = now_s() + DIAL_PAUSE_S * random.uniform(0.8, 1.2)
        logger.bind(peer=proxy, reason=str(error)).info("peer_not_reached")

    def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Start to serve an incoming link."""
        if len(self.opened) >= MAXIMUM_LINKS:
            logger.bind(limit=MAXIMUM_LINKS).warning("too_many_peer_links")
            writer.transport.abort()
            return
        link = self.build_link(reader, writer, is_dialler=False)
        task = asyncio.create_task(self.open_accepted(link))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open_accepted(self, link: ProxyLink) -> None:
        """Open an incoming link."""
        try:
            await self.open_link(link)
        except PeerLostError as error:
            logger.bind(reason=error.reason).warning("peer_refused")

    def build_link(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_dialler: bool,
    ) -> ProxyLink:
        """Build one side of a link."""
        return ProxyLink(
            reader, writer, self.hello, is_dialler, self.answer, self.traffic
        )

    async def open_link(self, link: ProxyLink) -> None:
        """Perform the handshake, then use the link until it ends.

        Raises:
            PeerLostError: If the handshake fails.
        """
        await link.start()
        self.opened[link] = asyncio.create_task(self.watch(link))
        self.has_links.set()
        self.dial_after_s.pop(link.peer_name, None)
        current = self.links.get(link.peer_name)
        if current is None or not current.is_usable:
            self.links[link.peer_name] = link
        elif is_replaced(current, link):
            self.links[link.peer_name] = link
            current.close()
        elif link.is_dialler == (self.hello.name < link.peer_name):
            self.links[link.peer_name] = link
            self.end_dialled(current)
        else:
            self.end_dialled(link)

    def end_dialled(self, link: ProxyLink) -> None:
        """Start to end a link that isn't needed, if this side dialled it."""
        if not link.is_dialler:
            return
        link.is_ending = True
        task = asyncio.create_task(link.end(UNUSED_LIMIT_S))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def watch(self, link: ProxyLink) -> None:
        """Wait for the end of a link and remove it."""
        try:
            await link.is_closed.wait()
        finally:
            self.opened.pop(link, None)
            if self.links.get(link.peer_name) is link:
                del self.links[link.peer_name]
            if not link.is_ending:
                for callback in self.loss_callbacks:
                    callback(link.peer_name)
            await link.stop()

    async def answer(self, sender: str, message: Message) -> Message | None:
        """Answer a question of another proxy."""
        handler = self.handlers.get(type(message))
        if handler is None:
            return NotHandled(f"{type(message).__name__} is not handled here")
        return await handler(sender, message)

    async def check_links(self) -> None:
        """Find silent and unused links, until cancelled."""
        while True:
            await self.has_links.wait()
            if not self.opened:
                self.has_links.clear()
                continue
            await asyncio.sleep(CHECK_INTERVAL_S)
            current_s = now_s()
            for link in tuple(self.opened):
                silent_s = current_s - link.last_received_at_s
                if link.pending_replies and silent_s > CHECK_AFTER_S:
                    link.start_silence_check()
                unused_s = current_s - link.used_at_s
                if link.is_dialler and link.is_usable and unused_s > UNUSED_LIMIT_S:
                    self.end_dialled(link)

    @property
    def address(self) -> Address:
        """Where this proxy listens.

        Raises:
            ValueError: If it doesn't.
        """
        if self.server is None or self.settings.peer_address is None:
            raise ValueError("this proxy doesn't listen for links")
        port = self.server.sockets[0].getsockname()[1]
        return Address(self.settings.peer_address.host, port)


def is_replaced(current: ProxyLink, link: ProxyLink) -> bool:
    """Return whether a new link shows that the other side has lost the current one.

    Args:
        current: The current link to a proxy.
        link: The new one.
    """
    assert current.remote is not None and link.remote is not None
    if link.remote.incarnation != current.remote.incarnation:
        return True
    return link.is_dialler == current.is_dialler
