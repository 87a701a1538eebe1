"""Requests, replies and one-way messages on a stream of frames."""

from __future__ import annotations

import asyncio
import itertools

from loguru import logger

from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.peers.frames import FrameStream
from ebonyrack.peers.frames import Traffic
from ebonyrack.peers.message import BadMessageError
from ebonyrack.peers.message import Message
from ebonyrack.peers.reply_messages import Failure

HANDSHAKE_TIMEOUT_S = 2.0
MAXIMUM_CONCURRENT_REQUESTS = 64


class PeerLostError(Exception):
    """Raised when a peer can't be reached or its link breaks.

    Attributes:
        reason: What happened.
        was_sent: Whether the peer may have received the request.
    """

    def __init__(self, reason: str, was_sent: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.was_sent = was_sent


class RequestLink(FrameStream, Component):
    """A link to another process: an async context manager with one read task.

    It ends when either side closes it, sends an invalid frame, or doesn't read what
    is queued for it. Subclasses perform the handshake and handle the requests.

    Attributes:
        is_dialler: Whether this side opened the connection.
        opened_at_s: Time at which the connection was opened.
        is_closed: Set when the link has ended.
    """

    __slots__ = (
        "is_dialler",
        "opened_at_s",
        "is_closed",
        "correlations",
        "pending_replies",
        "request_tasks",
        "request_slots",
        "read_task",
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_dialler: bool,
        traffic: Traffic,
    ) -> None:
        super().__init__(reader, writer, traffic)
        self.is_dialler = is_dialler
        self.opened_at_s = now_s()
        self.is_closed = asyncio.Event()
        self.correlations = itertools.count(1)
        self.pending_replies: dict[int, asyncio.Future[Message]] = {}
        self.request_tasks: set[asyncio.Task[None]] = set()
        self.request_slots = asyncio.Semaphore(MAXIMUM_CONCURRENT_REQUESTS)
        self.read_task: asyncio.Task[None] | None = None

    @property
    def peer_name(self) -> str:
        """Name of the other side, for logs; empty before the handshake."""
        raise NotImplementedError

    async def perform_handshake(self) -> None:
        """Introduce both sides to each other and accept frames of full size.

        Raises:
            BadMessageError: If the other side breaks the protocol.
            ConnectionError: If the other side closed the stream.
        """
        raise NotImplementedError

    async def handle(self, message: Message) -> Message | None:
        """Handle a message that is not a reply; return the reply to a request."""
        raise NotImplementedError

    async def start(self) -> None:
        """Perform the handshake and start to read.

        Raises:
            PeerLostError: If the handshake fails or times out.
        """
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                await self.perform_handshake()
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
        await end_tasks([self.read_task, *self.request_tasks])

    async def serve_frames(self) -> None:
        """Read and serve frames until the link ends."""
        try:
            while True:
                message, correlation = await self.read_frame()
                await self.serve_frame(message, correlation)
        except BadMessageError as error:
            logger.bind(peer=self.peer_name, reason=str(error)).warning(
                "peer_sent_bad_message"
            )
        except OSError as error:
            logger.bind(peer=self.peer_name, reason=repr(error)).debug("link_ended")
        finally:
            self.close()

    async def serve_frame(self, message: Message, correlation: int) -> None:
        """Pass a reply to its request, or handle another message in a task."""
        if correlation < 0:
            future = self.pending_replies.pop(-correlation, None)
            if future is not None and not future.done():
                future.set_result(message)
            return
        await self.request_slots.acquire()
        task = asyncio.create_task(self.handle_message(message, correlation))
        self.request_tasks.add(task)
        task.add_done_callback(self.release_request_slot)

    def release_request_slot(self, task: asyncio.Task[None]) -> None:
        """Release the slot of a request that has been served."""
        self.request_tasks.discard(task)
        self.request_slots.release()

    async def handle_message(self, message: Message, correlation: int) -> None:
        """Run the handler for one message and send its reply."""
        try:
            reply = await self.handle(message)
        except Exception as error:
            logger.opt(exception=error).error("message_handler_failed")
            reply = Failure(f"the handler failed: {error!r}")
        if correlation > 0:
            self.send(reply or Failure("no reply"), -correlation)

    def send(self, message: Message, correlation: int = 0) -> bool:
        """Queue a message; the link ends if too much is queued already.

        Args:
            message: The message.
            correlation: Number of the request, negative for its reply.

        Returns:
            Whether it was queued.
        """
        if self.is_closed.is_set() or self.writer.is_closing():
            return False
        if self.is_queue_full:
            self.close()
            return False
        self.write_frame(message, correlation)
        return True

    async def request(self, message: Message, timeout_s: float) -> Message:
        """Send a request and wait for its reply.

        Args:
            message: The request.
            timeout_s: Seconds to wait.

        Returns:
            The reply.

        Raises:
            PeerLostError: If the link ends, the reply is late or reports a failure.
        """
        if self.is_closed.is_set():
            raise PeerLostError("the link is closed")
        correlation = next(self.correlations)
        if not self.send(message, correlation):
            raise PeerLostError("the link is closing")
        future = asyncio.get_running_loop().create_future()
        self.pending_replies[correlation] = future
        try:
            async with asyncio.timeout(timeout_s):
                reply: Message = await future
        except TimeoutError:
            raise PeerLostError(f"no reply within {timeout_s} s", True) from None
        finally:
            self.pending_replies.pop(correlation, None)
        if isinstance(reply, Failure):
            raise PeerLostError(reply.reason, True)
        return reply

    async def flush(self) -> None:
        """Wait until all that is queued is sent or the link ends."""
        self.writer.transport.set_write_buffer_limits(high=0)
        try:
            await self.writer.drain()
        except OSError:
            self.close()

    def close(self) -> None:
        """Close the stream and fail the requests that wait for a reply."""
        self.is_closed.set()
        self.close_stream()
        for future in self.pending_replies.values():
            if not future.done():
                future.set_exception(PeerLostError("the link ended", True))
        self.pending_replies.clear()
