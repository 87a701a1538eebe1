"""One upstream of a group: its connection pool, health and log position."""

from __future__ import annotations

from msgspec import Struct

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.component import Component
from ebonyrack.core.position import LogPosition
from ebonyrack.members.entry import MemberEntry
from ebonyrack.members.link import UpstreamLink
from ebonyrack.members.link import open_link
from ebonyrack.members.liveness import Liveness
from ebonyrack.placing.outlier import FailureRecord
from ebonyrack.placing.reply_time import ReplyTime
from ebonyrack.pooling.pool import Pool
from ebonyrack.requests.codec import UpstreamCodec
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply

# How long a replica that lacked a position is tried last for it; a replica that keeps
# up applies a commit within this time.
LAGGING_PAUSE_S = 0.03
# How long an upstream is tried last after it rejected work or lost a connection.
DEPRIORITIZED_S = 0.25


class MemberQueueSettings(Struct):
    """Settings of the queue for one upstream's connections.

    Attributes:
        queue_limit: Largest number of requests that wait.
    """

    # The few connections of one proxy can't serve more within a second.
    queue_limit: int = 100


class Member(Component):
    """One upstream.

    Attributes:
        entry: Its newest entry in the store.
        codec: Its protocol.
        liveness: Records whether it replies.
        pool: Connections to it.
        position: Newest position that it has reported.
        position_at_s: Time of its last report of a position, on the boot clock.
        missing_position: Position that it lacked when a read required it, or None.
        lagging_until_s: Time until which it is tried last for that position.
        deprioritized_until_s: Time until which other upstreams are preferred.
        abandoned_at_s: Time at which its requests were last abandoned.
        reply_time: Statistics of its reply times.
        failures: Its recent statements that failed, and its last ejection.
        entry_missing_since_s: Time since which its entry is missing, or None.
        write_sent_s: Send time of each write or commit without a reply, by number.
        committed_sent_s: Send time of the newest acknowledged write or commit.
        leaving_since_s: Earliest time, on the boot clock, at which the store may have
            shown that it is leaving; None if it isn't.
        known_since_s: Time since which the upstream is known; far in the past if the
            first reading of the store listed it.
    """

    __slots__ = (
        "entry",
        "codec",
        "liveness",
        "pool",
        "position",
        "position_at_s",
        "missing_position",
        "lagging_until_s",
        "deprioritized_until_s",
        "abandoned_at_s",
        "reply_time",
        "failures",
        "entry_missing_since_s",
        "write_sent_s",
        "committed_sent_s",
        "known_since_s",
        "leaving_since_s",
    )

    def __init__(self, entry: MemberEntry, codec: UpstreamCodec, limit: int) -> None:
        self.entry = entry
        self.codec = codec
        self.liveness = Liveness()
        self.pool: Pool[UpstreamLink, MemberQueueSettings] = Pool(
            entry.address, MemberQueueSettings(), limit, self.open_link
        )
        self.position: LogPosition | None = None
        self.position_at_s = float("-inf")
        self.missing_position: LogPosition | None = None
        self.lagging_until_s = 0.0
        self.deprioritized_until_s = 0.0
        self.abandoned_at_s = 0.0
        self.reply_time = ReplyTime()
        self.failures = FailureRecord()
        self.entry_missing_since_s: float | None = None
        self.write_sent_s: dict[int, float] = {}
        self.committed_sent_s = 0.0
        self.known_since_s = float("-inf")
        self.leaving_since_s: float | None = None

    async def stop(self) -> None:
        """Close every connection, also those in use."""
        await self.pool.stop()

    @property
    def member_id(self) -> str:
        """Identity of the upstream."""
        return self.entry.member_id

    @property
    def is_reachable(self) -> bool:
        """Whether a reply can be expected; the watch probes unreachable upstreams."""
        if self.liveness.refused_since_s is not None:
            return False
        return self.liveness.measure_silence() <= self.silence_limit_s

    @property
    def expected_reply_s(self) -> float:
        """Expected reply time, in seconds."""
        return self.reply_time.estimate(boot_time_s())

    @property
    def silence_limit_s(self) -> float:
        """Seconds of silence after which no reply is expected."""
        return self.reply_time.compute_silence_limit(boot_time_s())

    async def open_link(self, timeout_s: float, account: str = "") -> UpstreamLink:
        """Open a connection outside the pool.

        Args:
            timeout_s: Seconds for connecting and opening the session.
            account: Client account that it is for; empty for the proxy's own name.

        Raises:
            UpstreamLostError: If none can be opened.
        """
        return await open_link(
            self.entry, self.codec, self.liveness, timeout_s, account
        )

    def measure_stall(self) -> float:
        """Return the seconds for which commits have waited without any completing."""
        if not self.write_sent_s:
            return 0.0
        oldest_s = min(self.write_sent_s.values())
        return boot_time_s() - max(oldest_s, self.committed_sent_s)

    def abandon(self) -> int:
        """Abandon running and waiting requests that can be repeated elsewhere.

        Idle connections are closed too: connections that were open may never reply
        while new ones work.

        Returns:
            Number of abandoned requests.
        """
        self.abandoned_at_s = boot_time_s()
        links = [link for link in self.pool.busy if link.is_abandonable]
        for link in links:
            link.close()
        count = len(links) + self.pool.waiting_count + self.pool.opening
        self.pool.stop_new_work()
        self.pool.resume_new_work()
        return count

    def record_position(self, position: LogPosition | None) -> None:
        """Record the position in a reply."""
        if position is None:
            return
        self.position_at_s = boot_time_s()
        if self.position is None or position > self.position:
            self.position = position

    def record_lagging(self, position: LogPosition) -> None:
        """Record that the upstream lacks a position."""
        self.missing_position = position
        self.lagging_until_s = boot_time_s() + LAGGING_PAUSE_S

    def record_rejection(self, reply: Reply, position: LogPosition | None) -> None:
        """Record a rejection of a read or a BEGIN.

        Args:
            reply: The rejection.
            position: Position that the log had to hold, or None.
        """
        if reply.rejection is RejectionKind.LAGGING and position is not None:
            self.record_lagging(position)
        elif reply.rejection is not RejectionKind.READ_ONLY:
            self.deprioritize()
        if reply.rejection is RejectionKind.BUSY:
            self.pool.record_overload()

    def record_reply_time(self, elapsed_s: float) -> None:
        """Update the reply time statistics."""
        self.reply_time.record(elapsed_s, boot_time_s())

    def deprioritize(self) -> None:
        """Prefer other upstreams for a while."""
        self.deprioritized_until_s = boot_time_s() + DEPRIORITIZED_S
