"""A link between two proxies for routes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger

from ebonyrack.core.clock import now_s
from ebonyrack.core.socket_options import KEEPALIVE_OPTIONS
from ebonyrack.core.socket_options import set_options
from ebonyrack.peers.frames import Traffic
from ebonyrack.peers.message import BadMessageError
from ebonyrack.peers.message import Message
from ebonyrack.peers.message import UnknownMessageError
from ebonyrack.peers.proxy_link_messages import EndLink
from ebonyrack.peers.proxy_link_messages import LinkAlive
from ebonyrack.peers.proxy_link_messages import ProxyHello
from ebonyrack.peers.reply_messages import NotHandled
from ebonyrack.peers.request_link import PeerLostError
from ebonyrack.peers.request_link import RequestLink

LINK_VERSION = 1
# Questions of one proxy that are handled at the same time; each may wait for a
# connection, and further ones are rejected rather than left unread.
MAXIMUM_CONCURRENT_QUESTIONS = 1000
# A link on which an answer is due carries some message within this time.
SILENCE_LIMIT_S = 2.0
# After a pause of this process, what came meanwhile is read within this time.
LATE_READ_S = 0.05
END_POLL_INTERVAL_S = 0.01

Handler = Callable[[str, Message], Awaitable[Message | None]]


class ProxyLink(RequestLink):
    """A link to another proxy, used for questions in both directions.

    Attributes:
        hello: Hello message of this side.
        handler: Called with the other side's name and each of its questions.
        remote: Hello message of the other side, None before the handshake.
        is_ending: Whether no question may be asked on it any more.
        used_at_s: Time of the last question on either side.
        probe_task: Finds out whether the link went silent, or None.
    """

    __slots__ = ("hello", "handler", "remote", "is_ending", "used_at_s", "probe_task")

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hello: ProxyHello,
        is_dialler: bool,
        handler: Handler,
        traffic: Traffic,
    ) -> None:
        super().__init__(reader, writer, is_dialler, traffic)
        self.hello = hello
        self.handler = handler
        self.remote: ProxyHello | None = None
        self.is_ending = False
        self.used_at_s = now_s()
        self.probe_task: asyncio.Task[None] | None = None
        self.request_slots = asyncio.Semaphore(MAXIMUM_CONCURRENT_QUESTIONS)
        set_options(writer.get_extra_info("socket"), KEEPALIVE_OPTIONS)

    async def perform_handshake(self) -> None:
        """Exchange hellos; the internal network admits no other callers."""
        self.write_frame(self.hello)
        remote, _ = await self.read_frame()
        if not isinstance(remote, ProxyHello):
            raise BadMessageError("the first message is not a hello")
        if remote.version != LINK_VERSION:
            raise BadMessageError(f"link version {remote.version} is not supported")
        self.remote = remote
        self.accept_full_frames()

    async def stop(self) -> None:
        """Close the link and end its tasks."""
        if self.probe_task is not None:
            self.probe_task.cancel()
        await super().stop()

    @property
    def peer_name(self) -> str:
        """Name of the other side; empty before the handshake."""
        return self.remote.name if self.remote is not None else ""

    @property
    def is_usable(self) -> bool:
        """Whether questions can be asked on the link."""
        return not self.is_ending and not self.is_closed.is_set()

    @property
    def is_unused(self) -> bool:
        """Whether no question of either side is unanswered."""
        return not self.pending_replies and not self.request_tasks

    async def read_frame(self) -> tuple[Message, int]:
        """Read one message; questions of unknown types are answered and skipped."""
        while True:
            try:
                return await super().read_frame()
            except UnknownMessageError as error:
                if error.correlation < 0:
                    return NotHandled(str(error)), error.correlation
                if error.correlation > 0:
                    self.send(NotHandled(str(error)), -error.correlation)

    async def request(self, message: Message, timeout_s: float) -> Message:
        """Ask a question, unless too much is queued; see `RequestLink.request`."""
        if self.is_queue_full:
            raise PeerLostError("the other side reads too slowly")
        return await super().request(message, timeout_s)

    async def serve_frame(self, message: Message, correlation: int) -> None:
        """Handle a message, unless too many questions are being handled."""
        if correlation > 0 and self.request_slots.locked():
            self.send(NotHandled("too many questions"), -correlation)
            return
        await super().serve_frame(message, correlation)

    async def handle(self, message: Message) -> Message | None:
        """Answer messages about the link itself; pass others to the handler."""
        if isinstance(message, LinkAlive):
            return message
        if isinstance(message, EndLink):
            self.is_ending = True
            return message
        self.used_at_s = now_s()
        return await self.handler(self.peer_name, message)

    def start_silence_check(self) -> None:
        """Check whether the link still carries messages; close it if it doesn't."""
        if self.probe_task is None or self.probe_task.done():
            self.probe_task = asyncio.create_task(self.close_if_silent())

    async def close_if_silent(self) -> None:
        """Send a message that is answered at once; close the link without any."""
        sent_at_s = now_s()
        try:
            await self.request(LinkAlive(), SILENCE_LIMIT_S)
        except PeerLostError as error:
            await asyncio.sleep(LATE_READ_S)
            if self.last_received_at_s < sent_at_s and not self.is_closed.is_set():
                logger.bind(peer=self.peer_name, reason=error.reason).warning(
                    "link_silent"
                )
                self.close()

    async def end(self, limit_s: float) -> None:
        """Close the link once all questions of both sides are answered.

        Args:
            limit_s: Seconds after which it is closed anyway.
        """
        self.is_ending = True
        try:
            async with asyncio.timeout(limit_s):
                await self.request(EndLink(), limit_s)
                while not self.is_unused and not self.is_closed.is_set():
                    await asyncio.sleep(END_POLL_INTERVAL_S)
                await self.flush()
        except (TimeoutError, PeerLostError):
            pass
        self.close()
