"""One authenticated msgpack stream between two processes."""

from __future__ import annotations

import asyncio
import hmac
import itertools
import secrets
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

import msgpack
from loguru import logger

from ebonyrack.core import metrics
from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.owner import Owner
from ebonyrack.core.tasks import end_tasks
from ebonyrack.peers.codec import MAXIMUM_FRAME_BYTES
from ebonyrack.peers.codec import PROTOCOL_VERSION
from ebonyrack.peers.codec import pack_message
from ebonyrack.peers.codec import parse_frame
from ebonyrack.peers.link_messages import Failure
from ebonyrack.peers.link_messages import Hello
from ebonyrack.peers.link_messages import Proof
from ebonyrack.peers.member import Member
from ebonyrack.peers.message import BadMessageError
from ebonyrack.peers.message import Message

SENT = {"direction": "sent"}
RECEIVED = {"direction": "received"}
HANDSHAKE_TIMEOUT_S = 2.0
HANDSHAKE_FRAME_BYTES = 4096
HANDSHAKE_READ_BYTES = 1024
READ_BYTES = 64 * 1024
SEND_QUEUE_BYTES = 4 * 1024 * 1024
MAXIMUM_REQUESTS = 64
NONCE_BYTES = 16


class PeerLostError(Exception):
    """A peer that can't be reached, or a link that broke.

    Attributes:
        reason: What happened.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(slots=True)
class Traffic:
    """Counters of the links of one process.

    Attributes:
        bytes_sent: Bytes of frames sent.
        bytes_received: Bytes read.
        messages_sent: Frames sent.
        messages_received: Frames read.
    """

    bytes_sent: int = 0
    bytes_received: int = 0
    messages_sent: int = 0
    messages_received: int = 0


Handler = Callable[["PeerLink", Message], Awaitable[Message | None]]


class PeerLink(Owner):
    """A link to another process: an async context manager with one read task.

    It ends when either side closes it, sends what is no valid frame, or doesn't
    take what is queued for it.

    Attributes:
        reader: Incoming bytes.
        writer: Outgoing bytes.
        hello: What this side says of itself.
        is_dialler: Whether this side opened the connection.
        secret: Secret that all processes share.
        handler: Called for each message that is no reply.
        traffic: Counters of the owner.
        remote: What the other side said of itself.
        operator: Name of the operator that proved its identity, or empty.
        opened_at_s: Time of the connection.
        heard_at_s: Time of the last frame received.
        is_unlinked: Whether either side closes it only for needing it no more.
        is_closed: Set when the link has ended.
    """

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
        self.reader = reader
        self.writer = writer
        self.hello = hello
        self.is_dialler = is_dialler
        self.secret = secret
        self.handler = handler
        self.traffic = traffic
        self.remote: Hello | None = None
        self.operator = ""
        self.opened_at_s = now_s()
        self.heard_at_s = now_s()
        self.is_unlinked = False
        self.is_closed = asyncio.Event()
        # Small reads keep what follows the proof out of the small first buffer.
        self.read_bytes = HANDSHAKE_READ_BYTES
        self.unpacker = msgpack.Unpacker(max_buffer_size=HANDSHAKE_FRAME_BYTES)
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
                await self.shake_hands()
        except (OSError, TimeoutError, BadMessageError) as error:
            self.close()
            raise PeerLostError(f"handshake failed: {error!r}") from error
        except BaseException:
            self.close()
            raise
        self.read_task = asyncio.create_task(self.read_frames())

    async def stop(self) -> None:
        """Close the link and end its tasks."""
        self.close()
        tasks = [task for task in (self.read_task, *self.requests) if task is not None]
        await end_tasks(tasks)

    @property
    def member(self) -> Member:
        """The other side's own description."""
        if self.remote is None:
            raise PeerLostError("the link is not open")
        return self.remote.member

    async def shake_hands(self) -> None:
        """Exchange hellos and prove to each other to know the secret."""
        self.send(self.hello)
        remote = await self.read_frame()
        if not isinstance(remote, Hello):
            raise BadMessageError("the first message is no hello")
        if remote.version != PROTOCOL_VERSION:
            raise BadMessageError(f"protocol version {remote.version} is not spoken")
        if len(remote.nonce) < NONCE_BYTES:
            raise BadMessageError("the challenge is too short")
        self.send(Proof(self.build_proof(self.hello, remote, self.is_dialler)))
        proof = await self.read_frame()
        expected = self.build_proof(remote, self.hello, not self.is_dialler)
        if not isinstance(proof, Proof) or not hmac.compare_digest(
            proof.digest, expected
        ):
            raise BadMessageError("the proof of the secret is wrong")
        self.remote = remote
        self.unpacker = self.widen_unpacker()
        self.read_bytes = READ_BYTES

    def build_proof(self, sender: Hello, receiver: Hello, is_dialler: bool) -> bytes:
        """Build the proof that the sender of a hello owes to the other side."""
        side = b"dialler" if is_dialler else b"listener"
        content = side + pack_message(sender) + pack_message(receiver)
        return hmac.digest(self.secret.encode(), content, "sha256")

    def widen_unpacker(self) -> msgpack.Unpacker:
        """Return an unpacker for full frames that holds what was read already."""
        unpacker = msgpack.Unpacker(max_buffer_size=MAXIMUM_FRAME_BYTES)
        unpacker.feed(self.unpacker.read_bytes(HANDSHAKE_FRAME_BYTES))
        return unpacker

    async def read_frame(self) -> Message:
        """Read one message; its correlation is ignored."""
        message, _ = await self.read_correlated_frame()
        return message

    async def read_correlated_frame(self) -> tuple[Message, int]:
        """Read one message with its correlation.

        Raises:
            BadMessageError: If the bytes are no valid message.
            ConnectionError: If the other side closed the stream.
        """
        while True:
            try:
                frame = self.unpacker.unpack()
            except msgpack.OutOfData:
                await self.fill_unpacker()
                continue
            except (ValueError, msgpack.UnpackException) as error:
                raise BadMessageError(f"not msgpack: {error!r}") from error
            self.traffic.messages_received += 1
            self.heard_at_s = now_s()
            return parse_frame(frame)

    async def fill_unpacker(self) -> None:
        """Read some bytes into the unpacker."""
        chunk = await self.reader.read(self.read_bytes)
        if not chunk:
            raise ConnectionResetError("the other side closed the link")
        self.traffic.bytes_received += len(chunk)
        metrics.peer_bytes.add(len(chunk), RECEIVED)
        try:
            self.unpacker.feed(chunk)
        except msgpack.BufferFull as error:
            raise BadMessageError("the frame is too large") from error

    async def read_frames(self) -> None:
        """Read and serve frames until the link ends."""
        try:
            while True:
                message, correlation = await self.read_correlated_frame()
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
        if self.writer.transport.get_write_buffer_size() > SEND_QUEUE_BYTES:
            self.close()
            return
        frame = pack_message(message, correlation)
        self.traffic.bytes_sent += len(frame)
        metrics.peer_bytes.add(len(frame), SENT)
        self.traffic.messages_sent += 1
        self.writer.write(frame)

    async def ask(self, message: Message, timeout_s: float) -> Message:
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
        if self.writer.transport.get_write_buffer_size() > 0:
            # A peer that doesn't read would keep the socket open for ever.
            self.writer.transport.abort()
        self.writer.close()
        for waiting in self.replies.values():
            if not waiting.done():
                waiting.set_exception(PeerLostError("the link ended"))
        self.replies.clear()


def build_hello(member: Member, role: str) -> Hello:
    """Build the hello of one link, with a fresh challenge."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    return Hello(PROTOCOL_VERSION, role, member, nonce)


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
