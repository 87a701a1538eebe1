"""A session with an upstream: raw messages, control queries, cancel requests."""

from __future__ import annotations

import asyncio
from collections import OrderedDict

from pygwire.exceptions import PygwireError
from pygwire.messages import CancelRequest
from pygwire.messages import Query

from ebonyrack.core.address import Address
from ebonyrack.upstreams.expected_replies import count_expected_replies
from ebonyrack.upstreams.query_result import QueryResult
from ebonyrack.upstreams.query_result import read_query_result
from ebonyrack.upstreams.transport import HEADER_BYTES
from ebonyrack.upstreams.transport import FrameTransport
from ebonyrack.upstreams.transport import Message
from ebonyrack.upstreams.transport import UpstreamLostError
from ebonyrack.upstreams.transport import connect

__all__ = [
    "Message",
    "QueryResult",
    "UpstreamConnection",
    "UpstreamLostError",
]

TRANSACTION_STATUSES = frozenset({"I", "T", "E"})
STANDBY_PARAMETER = b"in_hot_standby"


class UpstreamConnection:
    """A session with an upstream.

    Attributes:
        address: Address of the upstream.
        process_id: Backend process id for cancel requests.
        secret_key: Secret key for cancel requests.
        transaction_status: `I` idle, `T` in a transaction, `E` in a failed one.
        pending_replies: Number of ReadyForQuery messages still expected.
        is_unsynced: Whether messages were sent that no Sync has followed yet.
        is_cancelled: Whether a cancel request was sent; it may take effect late.
        is_standby: Whether the upstream last reported that it is a replica; None if it
            does not report it. A change is reported before the next ReadyForQuery,
            so a read after which this is True has seen a replica's data.
        prepared: Prepared statements known to the upstream, least recently used first.
    """

    __slots__ = (
        "address",
        "frames",
        "process_id",
        "secret_key",
        "transaction_status",
        "pending_replies",
        "is_unsynced",
        "is_cancelled",
        "is_standby",
        "prepared",
    )

    def __init__(self, address: Address, frames: FrameTransport) -> None:
        self.address = address
        self.frames = frames
        self.process_id = 0
        self.secret_key = b""
        self.transaction_status = "I"
        self.pending_replies = 0
        self.is_unsynced = False
        self.is_cancelled = False
        self.is_standby: bool | None = None
        self.prepared: OrderedDict[str, str] = OrderedDict()

    @property
    def is_closed(self) -> bool:
        """Whether either side has closed the connection."""
        return self.frames.lost_reason is not None

    @property
    def account(self) -> str:
        """Always empty: PostgreSQL callers have no client accounts."""
        return ""

    @property
    def is_idle_in_transaction(self) -> bool:
        """Always False: a connection with an idle transaction counts as in use."""
        return False

    @property
    def is_clean(self) -> bool:
        """Whether the connection may be reused by another caller."""
        return (
            not self.is_closed
            and not self.is_cancelled
            and not self.is_unsynced
            and self.pending_replies == 0
            and self.transaction_status == "I"
            and not self.frames.buffer
        )

    def send(self, data: bytes) -> None:
        """Queue whole messages for sending and count their replies.

        Args:
            data: One or more whole frontend messages.

        Raises:
            UpstreamLostError: If the connection has ended.
            ValueError: If the data does not end with a whole message.
        """
        expected, is_unsynced = count_expected_replies(data, self.is_unsynced)
        self.frames.write(data)
        self.pending_replies += expected
        self.is_unsynced = is_unsynced

    async def drain(self) -> None:
        """Wait until the send buffer is below its limit."""
        await self.frames.drain()

    def pop_message(self) -> Message | None:
        """Return the next message that has already arrived, or None.

        Raises:
            UpstreamLostError: If the upstream violates the protocol.
        """
        message = self.frames.pop_frame()
        while message is not None and self.process_message(message):
            message = self.frames.pop_frame()
        return message

    async def read_message(self) -> Message:
        """Wait for the next message.

        Returns:
            The message as it arrived.

        Raises:
            UpstreamLostError: If the connection ended or the upstream violated the
                protocol.
        """
        message = await self.frames.read_frame()
        while self.process_message(message):
            message = await self.frames.read_frame()
        return message

    def process_message(self, message: Message) -> bool:
        """Update the session state from a message.

        Args:
            message: Any message of the upstream.

        Returns:
            Whether the message must not be forwarded, as it reports the upstream's
            role to the proxy.

        Raises:
            UpstreamLostError: If it is an invalid ReadyForQuery.
        """
        if message.kind == b"Z":
            self.record_ready(message)
        return message.kind == b"S" and self.record_role(message)

    def record_role(self, message: Message) -> bool:
        """Update `is_standby` if a ParameterStatus reports the upstream's role.

        Args:
            message: The ParameterStatus.

        Returns:
            Whether it reports the role.
        """
        name, _, value = message.raw[HEADER_BYTES:].partition(b"\0")
        if name != STANDBY_PARAMETER:
            return False
        self.is_standby = value == b"on\0"
        return True

    def record_ready(self, message: Message) -> None:
        """Record the transaction status of a ReadyForQuery.

        Args:
            message: The ReadyForQuery.

        Raises:
            UpstreamLostError: If none was expected or its status is unknown.
        """
        status = chr(message.raw[-1])
        if self.pending_replies == 0 or status not in TRANSACTION_STATUSES:
            self.frames.close("the upstream sent an unexpected ReadyForQuery")
            raise UpstreamLostError(self.frames.lost_reason or "")
        self.pending_replies -= 1
        self.transaction_status = status

    async def query(self, sql: str, timeout_s: float) -> QueryResult:
        """Run a simple query and read its whole result.

        An abandoned query closes the connection, since its result would otherwise
        reach the next reader.

        Args:
            sql: Statement.
            timeout_s: Seconds to wait for the whole result.

        Returns:
            The result; an error from the upstream is returned, not raised.

        Raises:
            UpstreamLostError: If the connection ended or the query timed out.
        """
        # A timer that closes the connection is cheaper than asyncio.timeout.
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_s, self.close_timed_out, timeout_s)
        try:
            self.check_no_reply_pending()
            self.send(Query(query_string=sql).to_wire())
            return await self.read_answer()
        except PygwireError as error:
            self.frames.close(f"cannot decode the result: {error}")
            raise UpstreamLostError(self.frames.lost_reason or "") from error
        except BaseException:
            self.frames.close("query abandoned before its result was complete")
            raise
        finally:
            timer.cancel()

    def close_timed_out(self, timeout_s: float) -> None:
        """Close the connection of a query that timed out.

        Args:
            timeout_s: Seconds after which it timed out.
        """
        self.frames.close(f"no reply from {self.address} within {timeout_s:.3f} s")

    def check_no_reply_pending(self) -> None:
        """Raise UpstreamLostError while the reply to an earlier request is pending."""
        if self.pending_replies or self.is_unsynced:
            raise UpstreamLostError("the reply to an earlier request is still pending")

    async def read_answer(self) -> QueryResult:
        """Read messages up to ReadyForQuery and decode them."""
        return await read_query_result(self.read_message)

    async def cancel(self, timeout_s: float) -> None:
        """Send a cancel request for the statement that this session runs.

        The connection is not reused afterwards: the request may take effect after
        the intended statement has ended.

        Args:
            timeout_s: Seconds to wait for the upstream to accept the request.

        Raises:
            UpstreamLostError: If the upstream does not respond in time.
        """
        self.is_cancelled = True
        request = CancelRequest(process_id=self.process_id, secret_key=self.secret_key)
        try:
            async with asyncio.timeout(timeout_s):
                frames = await connect(self.address)
                try:
                    frames.write(request.to_wire())
                    # The upstream closes the connection after it handled the request.
                    while frames.lost_reason is None:
                        await frames.wait_for_bytes()
                        frames.buffer.clear()
                finally:
                    frames.close("cancel request sent")
        except TimeoutError:
            raise UpstreamLostError(f"no reply from {self.address}") from None

    def close(self) -> None:
        """Close the connection immediately."""
        self.frames.close("closed by the proxy")
