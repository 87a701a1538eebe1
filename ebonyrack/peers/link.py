"""A link between two processes: requests, their replies and one-way messages."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.peers.frames import FrameStream
from ebonyrack.peers.frames import Traffic
from ebonyrack.peers.handshake import shake_hands
from ebonyrack.peers.link_messages import Failure
from ebonyrack.peers.link_messages import Hello
from ebonyrack.peers.member import Member
from ebonyrack.peers.message import BadMessageError
from ebonyrack.peers.message import Message

HANDSHAKE_TIMEOUT_S = 2.0
MAXIMUM_REQUESTS = 64


class PeerLostError(Exception):
    """A peer that can't be reached, or a link that broke.

    Attributes:
        reason: What happened.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


Handler = Callable[["PeerLink", Message], Awaitable[Message | None]]


class PeerLink(FrameStream, Component):
    """A link to another process: an async context manager with one read task.

    It ends when either side closes it, sends what is no valid frame, or doesn't
    take what is queued for it.

    Attributes:
        hello: What this side says of itself.
        is_dialler: Whether this side opened the connection.
        secret: Secret that all processes share.
        handler: Called for each message that is no reply.
        remote: What the other side said of itself.
        operator: Name of the operator that proved its identity, or empty.
        opened_at_s: Time of the connection.
        is_unlinked: Whether either side closes it only for needing it no more.
        is_closed: Set when the link has ended.
    """

    __slots__ = (
        "hello",
        "is_dialler",
        "secret",
        "handler",
        "remote",
        "operator",
        "opened_at_s",
        "is_unlinked",
        "is_closed",
        "correlations",
        "replies",
        "requests",
        "request_places",
        "read_task",
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hello: Hello,
        is_dialler: bool,
        secret: str,
        handler: Handler,
        traffic: Traffic,
    ) -> None:
        super().__init__(reader, writer, traffic)
        self.hello = hello
        self.is_dialler = is_dialler
        self.secret = secret
        self.handler = handler
        self.remote: Hello | None = None
        self.operator = ""
        self.opened_at_s = now_s()
        self.is_unlinked = False
        self.is_closed = asyncio.Event()
        self.correlations = itertools.count(1)
        self.replies: dict[int, asyncio.Future[Message]] = {}
        self.requests: set[asyncio.Task[None]] = set()
        self.request_places = asyncio.Semaphore(MAXIMUM_REQUESTS)
        self.read_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Shake hands and start to read.

        Raises:
            PeerLostError: If the other side is no peer, or not in time.
        """
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                self.remote = await shake_hands(
                    self, self.hello, self.is_dialler, self.secret
                )
        except (OSError, TimeoutError, BadMessageError) as error:
            self.close()
            raise PeerLostError(f"handshake failed: {error!r}") from error
        except BaseException:
            self.close()
            raise
        self.read_task = asyncio.create_task(self.serve_frames())

    async def stop(self) -> None:
        """Close the link and end its tasks."""
        self.close()
        await end_tasks([self.read_task, *self.requests])

    @property
    def member(self) -> Member:
        """The other side's own description."""
        if self.remote is None:
            raise PeerLostError("the link is not open")
        return self.remote.member

    async def serve_frames(self) -> None:
        """Read and serve frames until the link ends."""
        try:
            while True:
                message, correlation = await self.read_frame()
                await self.serve_frame(message, correlation)
        except BadMessageError as error:
            logger.bind(peer=self.member.name, reason=str(error)).warning(
                "peer_sent_bad_message"
            )
        except OSError as error:
            logger.bind(peer=self.member.name, reason=repr(error)).debug("link_ended")
        finally:
            self.close()

    async def serve_frame(self, message: Message, correlation: int) -> None:
        """Hand one message to whoever waits for it."""
        if correlation < 0:
            waiting = self.replies.pop(-correlation, None)
            if waiting is not None and not waiting.done():
                waiting.set_result(message)
            return
        await self.request_places.acquire()
        task = asyncio.create_task(self.answer(message, correlation))
        self.requests.add(task)
        task.add_done_callback(self.forget_request)

    def forget_request(self, task: asyncio.Task[None]) -> None:
        """Free the place of a request that has been served."""
        self.requests.discard(task)
        self.request_places.release()

    async def answer(self, message: Message, correlation: int) -> None:
        """Run the handler for one message and send its reply."""
        try:
            reply = await self.handler(self, message)
        except Exception as error:
            logger.opt(exception=error).error("message_handler_failed")
            reply = Failure(f"the handler failed: {error!r}")
        if correlation > 0:
            self.send(reply or Failure("no answer"), -correlation)

    def send(self, message: Message, correlation: int = 0) -> None:
        """Queue a message; the link ends if too much is queued already.

        Args:
            message: The message.
            correlation: Number of the request, negative for its reply.
        """
        if self.is_closed.is_set() or self.writer.is_closing():
            return
        if self.is_queue_full:
            self.close()
        else:
            self.write_frame(message, correlation)

    async def request(self, message: Message, timeout_s: float) -> Message:
        """Send a request and wait for its reply.

        Args:
            message: The request.
            timeout_s: Seconds to wait.

        Returns:
            The reply.

        Raises:
            PeerLostError: If the link ends, the time is over or the peer failed.
        """
        if self.is_closed.is_set():
            raise PeerLostError("the link is closed")
        correlation = next(self.correlations)
        waiting = asyncio.get_running_loop().create_future()
        self.replies[correlation] = waiting
        self.send(message, correlation)
        try:
            async with asyncio.timeout(timeout_s):
                reply: Message = await waiting
        except TimeoutError:
            raise PeerLostError(f"no reply within {timeout_s} s") from None
        finally:
            self.replies.pop(correlation, None)
        if isinstance(reply, Failure):
            raise PeerLostError(reply.reason)
        return reply

    async def flush(self) -> None:
        """Wait until what is queued has left, or the link ended."""
        self.writer.transport.set_write_buffer_limits(high=0)
        try:
            await self.writer.drain()
        except OSError:
            self.close()

    def close(self) -> None:
        """Close the stream and fail whoever waits for a reply."""
        self.is_closed.set()
        self.close_stream()
        for waiting in self.replies.values():
            if not waiting.done():
                waiting.set_exception(PeerLostError("the link ended"))
        self.replies.clear()


async def refuse_message(link: PeerLink, message: Message) -> Message | None:
    """Answer whatever arrives on a link that only asks."""
    return Failure("this side answers nothing")


async def dial(
    address: Address,
    hello: Hello,
    secret: str,
    handler: Handler = refuse_message,
    traffic: Traffic | None = None,
) -> PeerLink:
    """Open a connection; the link is not yet entered.

    Args:
        address: Where the other side listens.
        hello: What this side says of itself.
        secret: Secret that all processes share.
        handler: Called for each message that is no reply.
        traffic: Counters to use.

    Returns:
        The link, to be entered as a context manager.

    Raises:
        PeerLostError: If the connection can't be made in time.
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(address.host, address.port)
    except (OSError, TimeoutError) as error:
        raise PeerLostError(f"can't connect to {address}: {error!r}") from error
    return PeerLink(reader, writer, hello, True, secret, handler, traffic or Traffic())
