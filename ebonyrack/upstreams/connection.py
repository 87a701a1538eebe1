"""One session with an upstream: raw messages, control queries, cancel requests."""

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
        process_id: Process number for cancel requests.
        secret_key: Secret for cancel requests.
        transaction_status: `I` idle, `T` in a transaction, `E` in a failed one.
        pending_replies: ReadyForQuery messages still to come.
        is_unsynced: Whether messages were sent that no Sync has closed yet.
        is_cancelled: Whether a cancel request was sent; it may strike late.
        is_standby: Whether the upstream last said that it is a replica; None if it
            does not say. It says so again before the ReadyForQuery that follows a
            change, so a read that ended with it True has seen a replica's data.
        prepared: Prepared statements known to the upstream, in order of use.
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
        """Whether the connection has ended, on either side."""
        return self.frames.lost_reason is not None

    @property
    def is_idle_in_transaction(self) -> bool:
        """Whether it counts as unused; a transaction between statements does not."""
        return False

    @property
    def is_clean(self) -> bool:
        """Whether another caller may use the connection."""
        return (
            not self.is_closed
            and not self.is_cancelled
            and not self.is_unsynced
            and self.pending_replies == 0
            and self.transaction_status == "I"
            and not self.frames.buffer
        )

    def send(self, data: bytes) -> None:
        """Queue whole messages for sending.

        Args:
            data: One or more whole frontend messages.

        Raises:
            UpstreamLostError: If the connection has ended.
            ValueError: If the data does not end with a whole message.
        """
        due, is_unsynced = count_expected_replies(data, self.is_unsynced)
        self.frames.write(data)
        self.pending_replies += due
        self.is_unsynced = is_unsynced

    async def drain(self) -> None:
        """Wait until the queue of bytes to send is short."""
        await self.frames.drain()

    def pop_message(self) -> Message | None:
        """Take a message that has already arrived, or return None.

        Raises:
            UpstreamLostError: If the upstream breaks the protocol.
        """
        message = self.frames.take_frame()
        while message is not None and self.note_message(message):
            message = self.frames.take_frame()
        return message

    async def read_message(self) -> Message:
        """Wait for the next message.

        Returns:
            The message as it arrived.

        Raises:
            UpstreamLostError: If the connection ended or broke the protocol.
        """
        message = await self.frames.read_frame()
        while self.note_message(message):
            message = await self.frames.read_frame()
        return message

    def note_message(self, message: Message) -> bool:
        """Keep what a message says about the session.

        Args:
            message: Any message of the upstream.

        Returns:
            Whether it is for the proxy alone: the report of the upstream's role.

        Raises:
            UpstreamLostError: If it is a ReadyForQuery that is not valid.
        """
        if message.kind == b"Z":
            self.note_ready(message)
        return message.kind == b"S" and self.note_role(message)

    def note_role(self, message: Message) -> bool:
        """Keep whether the upstream is a replica, if a ParameterStatus says so.

        Args:
            message: The ParameterStatus.

        Returns:
            Whether it says so.
        """
        name, _, value = message.raw[HEADER_BYTES:].partition(b"\0")
        if name != STANDBY_PARAMETER:
            return False
        self.is_standby = value == b"on\0"
        return True

    def note_ready(self, message: Message) -> None:
        """Keep the transaction status of a ReadyForQuery.

        Args:
            message: The ReadyForQuery.

        Raises:
            UpstreamLostError: If none was due or its status is unknown.
        """
        status = chr(message.raw[-1])
        if self.pending_replies == 0 or status not in TRANSACTION_STATUSES:
            self.frames.close("the upstream sent a ReadyForQuery that was not due")
            raise UpstreamLostError(self.frames.lost_reason or "")
        self.pending_replies -= 1
        self.transaction_status = status

    async def query(self, sql: str, timeout_s: float) -> QueryResult:
        """Run a simple query and read its whole answer.

        A query that is given up on closes the connection, since its answer would
        otherwise reach the next reader.

        Args:
            sql: Statement.
            timeout_s: Seconds to wait for the whole answer.

        Returns:
            The answer; an error answer is returned, not raised.

        Raises:
            UpstreamLostError: If the connection ended or the time is over.
        """
        # Closing the connection ends the wait, which costs less than a timeout.
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_s, self.end_late_query, timeout_s)
        try:
            self.check_no_answer_due()
            self.send(Query(query_string=sql).to_wire())
            return await self.read_answer()
        except PygwireError as error:
            self.frames.close(f"the answer can't be decoded: {error}")
            raise UpstreamLostError(self.frames.lost_reason or "") from error
        except BaseException:
            self.frames.close("given up in the middle of an answer")
            raise
        finally:
            timer.cancel()

    def end_late_query(self, timeout_s: float) -> None:
        """Close the connection since an answer takes too long.

        Args:
            timeout_s: Seconds that it had.
        """
        self.frames.close(f"no answer from {self.address} within {timeout_s:.3f} s")

    def check_no_answer_due(self) -> None:
        """Raise UpstreamLostError while the answer to an earlier request is due."""
        if self.pending_replies or self.is_unsynced:
            raise UpstreamLostError("an earlier answer is still due")

    async def read_answer(self) -> QueryResult:
        """Read messages up to ReadyForQuery and decode them."""
        return await read_query_result(self.read_message)

    async def cancel(self, timeout_s: float) -> None:
        """Ask the upstream to cancel what this session runs.

        The connection is not reused afterwards: the request may strike after the
        statement that it was meant for has ended.

        Args:
            timeout_s: Seconds to wait for the upstream to take the request.

        Raises:
            UpstreamLostError: If the upstream can't be reached in time.
        """
        self.is_cancelled = True
        request = CancelRequest(process_id=self.process_id, secret_key=self.secret_key)
        try:
            async with asyncio.timeout(timeout_s):
                frames = await connect(self.address)
                try:
                    frames.write(request.to_wire())
                    # The upstream closes the connection when it has acted.
                    while frames.lost_reason is None:
                        await frames.wait_for_bytes()
                        frames.buffer.clear()
                finally:
                    frames.close("cancel request sent")
        except TimeoutError:
            raise UpstreamLostError(f"no answer from {self.address}") from None

    def close(self) -> None:
        """Close the connection at once."""
        self.frames.close("closed by the proxy")
