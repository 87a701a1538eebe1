"""A connection to an upstream, used by one transaction or statement at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from result import Result

from ebonyrack.core import metrics
from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.line_stream import LineStream
from ebonyrack.core.line_stream import StreamLostError
from ebonyrack.core.line_stream import open_line_stream
from ebonyrack.members.entry import MemberEntry
from ebonyrack.members.liveness import Liveness
from ebonyrack.members.session_context import PreparedStatement
from ebonyrack.members.session_context import SessionContext
from ebonyrack.pooling.upstream_lost import TOO_MANY_CONNECTIONS
from ebonyrack.pooling.upstream_lost import UpstreamLostError
from ebonyrack.requests.codec import UpstreamCodec
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.reply import TransactionState
from ebonyrack.requests.reply import UpstreamStatus
from ebonyrack.requests.request import BEGIN_REQUEST
from ebonyrack.requests.request import DISCARD_REQUEST
from ebonyrack.requests.request import ROLLBACK_REQUEST
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import RequestKind

# TCP breaks a connection whose bytes stay unacknowledged for this long. Round trips
# between data centres take a few milliseconds, so only a network partition or a lost VM
# delays acknowledgements for so long.
UNACKNOWLEDGED_LIMIT_MS = 1500
# Reason of the end of a connection that this proxy has closed.
CLOSED_HERE = "closed by the proxy"


class ReplyTimeoutError(Exception):
    """No reply came in time; the requests that were sent may have run."""


class UpstreamLink:
    """A connection to one upstream.

    Attributes:
        stream: The connection.
        codec: Protocol of the upstream.
        liveness: Records whether the upstream replies.
        account: Client account for which it was opened; empty for the proxy's own name.
        state: State of the upstream's session.
        outstanding_replies: Number of replies that are still to come.
        values: Session values that are set on the connection.
        prepared: Names of the statements that are prepared on it.
        is_abandonable: Whether its current exchange may be abandoned and repeated
            elsewhere.
    """

    __slots__ = (
        "stream",
        "codec",
        "liveness",
        "account",
        "state",
        "outstanding_replies",
        "values",
        "prepared",
        "is_abandonable",
    )

    def __init__(
        self,
        stream: LineStream,
        codec: UpstreamCodec,
        liveness: Liveness,
        account: str = "",
    ) -> None:
        self.stream = stream
        self.codec = codec
        self.liveness = liveness
        self.account = account
        self.state = TransactionState.IDLE
        self.outstanding_replies = 0
        self.values: dict[bytes, bytes] = {}
        self.prepared: set[bytes] = set()
        self.is_abandonable = False

    @property
    def is_open(self) -> bool:
        """Whether statements can be sent."""
        return self.stream.lost_reason is None

    @property
    def is_clean(self) -> bool:
        """Whether it is open and idle, with no reply outstanding or unasked for."""
        return (
            self.is_open
            and self.outstanding_replies == 0
            and not self.stream.buffer
            and self.state is TransactionState.IDLE
        )

    @property
    def is_idle_in_transaction(self) -> bool:
        """Whether it is in a transaction with no reply outstanding."""
        return self.outstanding_replies == 0 and self.state is TransactionState.OPEN

    def close(self) -> None:
        """Close the connection at once; an open transaction is rolled back."""
        if self.stream.lost_reason not in (None, CLOSED_HERE):
            self.liveness.record_interruption()
        self.stream.abort(CLOSED_HERE)

    async def exchange(
        self,
        requests: Sequence[Request],
        timeout_s: float,
        is_abandonable: bool = True,
    ) -> list[Reply]:
        """Send a batch of requests and wait for all replies.

        Args:
            requests: The requests.
            timeout_s: Seconds to wait. The connection is closed after that.
            is_abandonable: Whether the exchange may be abandoned when the upstream
                falls silent, because it commits nothing.

        Returns:
            A reply to each request.

        Raises:
            UpstreamLostError: If the connection broke; the requests may have run.
            ReplyTimeoutError: If a reply did not come in time.
        """
        number = self.liveness.record_sent()
        was_abandoned = False
        self.is_abandonable = is_abandonable
        replies: list[Reply] = []
        try:
            data = b"".join(self.codec.encode_request(request) for request in requests)
            if self.outstanding_replies == 0 and self.stream.buffer:
                # It would be taken for the reply to the first request.
                self.stream.abort("the upstream sent a reply that was not asked for")
            self.stream.write(data)
            self.outstanding_replies += len(requests)
            async with asyncio.timeout(timeout_s):
                for _ in requests:
                    replies.append(await self.read_reply())
        except StreamLostError as error:
            was_abandoned = True
            if error.reason != CLOSED_HERE:
                self.liveness.record_interruption()
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
        """Begin a read-write transaction, which only a primary accepts, and end it.

        Args:
            timeout_s: Seconds to wait.

        Returns:
            The reply to BEGIN, and the time of the probe on the boot clock.

        Raises:
            UpstreamLostError: If the connection broke.
            ReplyTimeoutError: If no reply came in time.
        """
        sent_at_s = boot_time_s()
        began, _ = await self.exchange([BEGIN_REQUEST, ROLLBACK_REQUEST], timeout_s)
        return began, sent_at_s

    async def request_status(
        self, request: Request, timeout_s: float
    ) -> Result[UpstreamStatus, str]:
        """Send a request whose reply is a status.

        Args:
            request: The request.
            timeout_s: Seconds to wait.

        Returns:
            The status, or why the reply has none.

        Raises:
            UpstreamLostError: If the connection broke.
            ReplyTimeoutError: If no reply came in time.
        """
        (reply,) = await self.exchange([request], timeout_s)
        return self.codec.read_status(reply)

    async def read_reply(self) -> Reply:
        """Wait for the reply to the oldest unanswered request.

        Raises:
            StreamLostError: If the connection ended before a whole reply arrived, or
                the reply has no outcome.
        """
        reply = await self.codec.read_reply(self.stream)
        if not reply.signature and reply.rejection is None:
            reason = "the upstream ended a reply without an outcome"
            self.stream.abort(reason)
            raise StreamLostError(reason)
        self.outstanding_replies -= 1
        self.state = reply.state
        self.liveness.record_reply()
        return reply

    async def set_up_session(
        self,
        context: SessionContext,
        prepared: PreparedStatement | None,
        timeout_s: float,
    ) -> None:
        """Set a caller's session values and prepare its statement on the connection.

        This completes before the caller's statement is sent, which must not run with
        other values.

        Args:
            context: Values that the caller has set.
            prepared: Statement that the caller executes next, or None.
            timeout_s: Seconds to wait.

        Raises:
            UpstreamLostError: If the connection broke or the upstream rejected it.
            ReplyTimeoutError: If a reply did not come in time.
        """
        requests = self.plan_session_setup(context, prepared)
        if not requests:
            return
        replies = await self.exchange(requests, timeout_s)
        for reply in replies:
            if reply.rejection is not None:
                self.close()
                raise UpstreamLostError(f"session setup was rejected: {reply.detail}")
        if requests[0] is DISCARD_REQUEST:
            self.prepared.clear()
        self.values = dict(context.values)
        if prepared is not None:
            self.prepared.add(prepared.upstream_name)

    def plan_session_setup(
        self, context: SessionContext, prepared: PreparedStatement | None
    ) -> list[Request]:
        """Return the requests that set the connection up for a caller's session."""
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
                    argument=prepared.text,
                    writes=prepared.writes,
                )
            )
        return requests


async def open_link(
    entry: MemberEntry,
    codec: UpstreamCodec,
    liveness: Liveness,
    timeout_s: float,
    account: str,
) -> UpstreamLink:
    """Open a session that names the upstream expected at the address.

    Args:
        entry: The upstream.
        codec: Its protocol.
        liveness: Records whether it replies.
        timeout_s: Seconds for connecting and opening the session.
        account: Client account that it is for; empty for the proxy's own name.

    Returns:
        The connection, idle.

    Raises:
        UpstreamLostError: If it can't be reached, another upstream replies, or it
            accepts no more connections.
    """
    number = liveness.record_sent()
    was_abandoned = False
    stream: LineStream | None = None
    try:
        async with asyncio.timeout(timeout_s):
            stream = await open_line_stream(entry.address, UNACKNOWLEDGED_LIMIT_MS)
            stream.write(codec.encode_start(entry.group, entry.member_id, account))
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
        # Cancelled by the pool because the upstream is silent.
        was_abandoned = True
        if stream is not None:
            stream.abort("the session did not open")
        raise
    finally:
        liveness.record_ended(number, was_abandoned)
    too_many = reply.rejection is RejectionKind.TOO_MANY_CONNECTIONS
    outcome = "opened" if reply.rejection is None else str(reply.rejection)
    metrics.connections_opened.add(1, {"group": entry.group, "outcome": outcome})
    if reply.rejection is not None:
        stream.abort("the session was rejected")
        if too_many:
            # It replies, so it is neither silent nor unreachable.
            liveness.record_reply()
        if reply.rejection is RejectionKind.WRONG_UPSTREAM:
            liveness.record_replaced()
        raise UpstreamLostError(reply.detail, TOO_MANY_CONNECTIONS if too_many else "")
    liveness.record_reply()
    return UpstreamLink(stream, codec, liveness, account)
