"""One connection to an upstream, used by one transaction or statement at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.line_stream import LineStream
from ebonyrack.core.line_stream import StreamLostError
from ebonyrack.core.line_stream import open_line_stream
from ebonyrack.members.entry import MemberEntry
from ebonyrack.members.liveness import Liveness
from ebonyrack.members.session_context import PreparedStatement
from ebonyrack.members.session_context import SessionContext
from ebonyrack.pooling.pool import TOO_MANY_CONNECTIONS
from ebonyrack.pooling.upstream_lost import UpstreamLostError
from ebonyrack.requests.codec import UpstreamCodec
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.reply import TransactionState
from ebonyrack.requests.request import BEGIN_REQUEST
from ebonyrack.requests.request import DISCARD_REQUEST
from ebonyrack.requests.request import ROLLBACK_REQUEST
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import RequestKind

# TCP breaks a connection whose bytes stay unacknowledged this long. Links between
# data centres answer in a few milliseconds, so only a cut or a dark VM does that.
UNACKNOWLEDGED_LIMIT_MS = 1500


class ReplyTimeoutError(Exception):
    """No reply came in time; what was sent may have run."""


class UpstreamLink:
    """A connection to one upstream.

    Attributes:
        stream: The connection.
        codec: Protocol of the upstream.
        liveness: What the proxy knows of the upstream's life.
        state: State of the upstream's session.
        due: Replies still to come.
        values: Session values that are set on it.
        prepared: Names that are prepared on it.
        is_abandonable: Whether what runs on it may be given up and run elsewhere.
    """

    __slots__ = (
        "stream",
        "codec",
        "liveness",
        "state",
        "due",
        "values",
        "prepared",
        "is_abandonable",
    )

    def __init__(
        self, stream: LineStream, codec: UpstreamCodec, liveness: Liveness
    ) -> None:
        self.stream = stream
        self.codec = codec
        self.liveness = liveness
        self.state = TransactionState.IDLE
        self.due = 0
        self.values: dict[bytes, bytes] = {}
        self.prepared: set[bytes] = set()
        self.is_abandonable = False

    @property
    def is_open(self) -> bool:
        """Whether statements can be sent."""
        return self.stream.lost_reason is None

    @property
    def is_clean(self) -> bool:
        """Whether it is open and idle, with nothing due."""
        return self.is_open and self.due == 0 and self.state is TransactionState.IDLE

    @property
    def is_idle_in_transaction(self) -> bool:
        """Whether a transaction holds it and nothing is due."""
        return self.due == 0 and self.state is TransactionState.OPEN

    def close(self) -> None:
        """Drop the connection at once; an open transaction is rolled back."""
        self.stream.abort("closed by the proxy")

    async def exchange(
        self,
        requests: Sequence[Request],
        timeout_s: float,
        is_abandonable: bool = True,
    ) -> list[Reply]:
        """Send statements in one go and wait for all replies.

        Args:
            requests: The statements.
            timeout_s: Seconds to wait. The connection is closed after that.
            is_abandonable: Whether the exchange may be given up when the upstream
                turns silent, as nothing is kept without a later commit.

        Returns:
            A reply for each statement.

        Raises:
            UpstreamLostError: If the connection broke; what was sent may have run.
            ReplyTimeoutError: If a reply did not come in time.
        """
        number = self.liveness.record_sent()
        was_abandoned = False
        self.is_abandonable = is_abandonable
        replies: list[Reply] = []
        try:
            data = b"".join(self.codec.encode_request(request) for request in requests)
            self.stream.write(data)
            self.due += len(requests)
            async with asyncio.timeout(timeout_s):
                for _ in requests:
                    replies.append(await self.read_reply())
        except StreamLostError as error:
            was_abandoned = True
            raise UpstreamLostError(error.reason) from error
        except TimeoutError:
            was_abandoned = True
            self.close()
            raise ReplyTimeoutError from None
        except BaseException:
            self.close()
            raise
        finally:
            self.is_abandonable = False
            self.liveness.record_ended(number, was_abandoned)
        return replies

    async def probe_primary(self, timeout_s: float) -> tuple[Reply, float]:
        """Open a plain transaction, which only the primary allows, and end it.

        Args:
            timeout_s: Seconds to wait.

        Returns:
            The reply to its beginning, and the time of the question on the boot
            clock.

        Raises:
            UpstreamLostError: If the connection broke.
            ReplyTimeoutError: If no reply came in time.
        """
        sent_at_s = boot_time_s()
        began, _ = await self.exchange([BEGIN_REQUEST, ROLLBACK_REQUEST], timeout_s)
        return began, sent_at_s

    async def read_reply(self) -> Reply:
        """Wait for the reply to the oldest statement that has none."""
        reply = await self.codec.read_reply(self.stream)
        self.due -= 1
        self.state = reply.state
        self.liveness.record_reply()
        return reply

    async def set_up_session(
        self,
        context: SessionContext,
        prepared: PreparedStatement | None,
        timeout_s: float,
    ) -> None:
        """Give the connection a caller's session values and a prepared statement.

        It is awaited before the caller's own statement is sent, which must not run
        with other values.

        Args:
            context: What the caller has set.
            prepared: Statement that the caller executes next, or None.
            timeout_s: Seconds to wait.

        Raises:
            UpstreamLostError: If the connection broke or the upstream refused.
            ReplyTimeoutError: If a reply did not come in time.
        """
        requests = self.plan_session_setup(context, prepared)
        if not requests:
            return
        replies = await self.exchange(requests, timeout_s)
        for reply in replies:
            if reply.rejection is not None:
                self.close()
                raise UpstreamLostError(f"the set-up was refused: {reply.detail}")
        if requests[0] is DISCARD_REQUEST:
            self.prepared.clear()
        self.values = dict(context.values)
        if prepared is not None:
            self.prepared.add(prepared.upstream_name)

    def plan_session_setup(
        self, context: SessionContext, prepared: PreparedStatement | None
    ) -> list[Request]:
        """Return the statements that bring the connection to a caller's session."""
        requests: list[Request] = []
        known_values, known_names = self.values, self.prepared
        if known_values.keys() - context.values.keys():
            requests.append(DISCARD_REQUEST)
            known_values, known_names = {}, set()
        for name, value in context.values.items():
            if known_values.get(name) != value:
                requests.append(Request(RequestKind.SET, name=name, argument=value))
        if prepared is not None and prepared.upstream_name not in known_names:
            requests.append(
                Request(
                    RequestKind.PREPARE,
                    name=prepared.upstream_name,
                    argument=prepared.shape,
                    writes=prepared.writes,
                )
            )
        return requests


async def open_link(
    entry: MemberEntry, codec: UpstreamCodec, liveness: Liveness, timeout_s: float
) -> UpstreamLink:
    """Open a connection and name the upstream that is expected there.

    Args:
        entry: The upstream.
        codec: Its protocol.
        liveness: What the proxy knows of its life.
        timeout_s: Seconds for connecting and opening the session.

    Returns:
        The connection, idle.

    Raises:
        UpstreamLostError: If it can't be reached, another one answers, or it has no
            connection to spare.
    """
    number = liveness.record_sent()
    was_abandoned = False
    stream: LineStream | None = None
    try:
        async with asyncio.timeout(timeout_s):
            stream = await open_line_stream(entry.address, UNACKNOWLEDGED_LIMIT_MS)
            stream.write(codec.encode_start(entry.group, entry.member_id))
            reply = await codec.read_reply(stream)
    except StreamLostError as error:
        liveness.record_refusal()
        raise UpstreamLostError(error.reason) from error
    except TimeoutError:
        was_abandoned = True
        if stream is not None:
            stream.abort("the session did not open")
        raise UpstreamLostError(f"no session within {timeout_s:.3f} s") from None
    except BaseException:
        # Ended by the pool because the upstream is silent.
        was_abandoned = True
        if stream is not None:
            stream.abort("the session did not open")
        raise
    finally:
        liveness.record_ended(number, was_abandoned)
    if reply.rejection is not None:
        stream.abort("the session was refused")
        too_many = reply.rejection is RejectionKind.TOO_MANY_CONNECTIONS
        raise UpstreamLostError(reply.detail, TOO_MANY_CONNECTIONS if too_many else "")
    liveness.record_reply()
    return UpstreamLink(stream, codec, liveness)
