"""One upstream of a database group: its connections, status and state."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from transitions import Machine

from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.position import LOG_START
from ebonyrack.core.position import LogPosition
from ebonyrack.core.tasks import end_tasks
from ebonyrack.upstreams.confirmed_log import ConfirmedLog
from ebonyrack.upstreams.connection import QueryResult
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.contract import CONTRACTS
from ebonyrack.upstreams.control import ControlConnection
from ebonyrack.upstreams.pool import ConnectionPool
from ebonyrack.upstreams.position_waits import PositionWaits
from ebonyrack.upstreams.status import Role
from ebonyrack.upstreams.status import UpstreamStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    from ebonyrack.config.sections import GroupSection
    from ebonyrack.config.sections import UpstreamSpec

# A timeout that is noticed this much too late shows that this process was paused.
PAUSE_LIMIT_S = 0.1
# One that is noticed this much too late may have passed while the process stood still.
LATE_LIMIT_S = 0.01
# Time for the repetition of such a poll, as a share of that for a poll.
REPEATED_POLL_SHARE = 0.25
# Control connections to a replica: one for polls and one for position waits.
REPLICA_CONTROL_CONNECTIONS = 2
PRIMARY_CONTROL_CONNECTIONS = 1
TOO_MANY_CONNECTIONS = "53300"
# A pause of this process can make the poll in flight and the next one slow.
MINIMUM_SLOW_POLLS = 3
# A fast poll takes at most this fraction of the limit for slow ones.
FAST_POLL_FRACTION = 0.5

STATE_MACHINE = Machine(
    model=None,
    states=["unknown", "answering", "departing", "lost"],
    initial="unknown",
    transitions=[
        ["mark_answering", ["unknown", "departing", "lost"], "answering"],
        ["mark_departing", ["unknown", "answering", "lost"], "departing"],
        ["mark_lost", ["unknown", "answering", "departing"], "lost"],
    ],
    auto_transitions=False,
)


class Upstream(Component):
    """This proxy's view of an upstream.

    Attributes:
        spec: Name, address and data centre from the operators' document.
        section: Section of the group.
        pool: Connections for callers' transactions.
        status: Status from the latest reply to a poll, or None.
        poll_sent_at_s: Monotonic time at which that poll was sent.
        answered_at_s: Monotonic time at which that reply arrived, or None.
        confirmed_log: The confirmed part of its log.
        lost_at_s: Monotonic time of the first failed poll since the latest reply, or
            None.
        refuses_connections: Whether the latest poll failed because the connection was
            refused.
        poll_time_s: Duration of the latest plain poll in seconds, or None.
        slow_since_s: Monotonic time of the first of the consecutive slow polls, or
            None if the latest poll was not slow.
        slow_poll_count: Number of consecutive slow polls.
        is_marked_leaving: Whether the document or the VM list says it is leaving.
        on_status: Called after each status update.
        on_change: Called after each change of state.
        state: `unknown`, `answering`, `departing` (reachable but leaving) or `lost`.
    """

    state: str
    mark_answering: Callable[[], bool]
    mark_departing: Callable[[], bool]
    mark_lost: Callable[[], bool]

    def __init__(
        self, spec: UpstreamSpec, section: GroupSection, connection_limit: int
    ) -> None:
        self.spec = spec
        self.section = section
        self.connection_limit = connection_limit
        self.status: UpstreamStatus | None = None
        self.poll_sent_at_s = 0.0
        self.answered_at_s: float | None = None
        self.confirmed_log = ConfirmedLog()
        self.lost_at_s: float | None = None
        self.refuses_connections = False
        self.poll_time_s: float | None = None
        self.slow_since_s: float | None = None
        self.slow_poll_count = 0
        self.is_marked_leaving = False
        self.summary: tuple[Role, int, int, bool] | None = None
        self.contract = CONTRACTS.get(section.contract)()
        self.pool = ConnectionPool(spec.address, section, self.compute_pool_limit())
        self.control = ControlConnection(spec.address, section)
        self.position_waits = PositionWaits(
            ControlConnection(spec.address, section),
            self.contract,
            section.suspect_after_s,
            self.record_status,
        )
        self.next_poll: asyncio.Task[UpstreamStatus] | None = None
        self.polls: set[asyncio.Task[UpstreamStatus]] = set()
        self.on_status: Callable[[Upstream], None] = do_nothing
        self.on_change: Callable[[Upstream], None] = do_nothing
        STATE_MACHINE.add_model(self)

    async def start(self) -> None:
        """Start the pool."""
        await self.pool.start()

    async def stop(self) -> None:
        """Stop the polls and waits, and close the connections."""
        await end_tasks(self.polls)
        await self.position_waits.close()
        self.control.close()
        await self.pool.stop()
        STATE_MACHINE.remove_model(self)

    @property
    def name(self) -> str:
        """Name of the upstream's VM."""
        return self.spec.name

    @property
    def is_reachable(self) -> bool:
        """Whether it replied to the latest poll."""
        return self.state in ("answering", "departing")

    @property
    def is_leaving(self) -> bool:
        """Whether it, the document or the VM list says that it is about to leave."""
        return self.is_marked_leaving or (
            self.status is not None and self.status.leaving
        )

    @property
    def is_regressed(self) -> bool:
        """Whether it lost confirmed log entries, and so counts in no majority."""
        return self.confirmed_log.is_regressed

    @property
    def counts_in_majority(self) -> bool:
        """Whether it replied to the latest poll and may count in a majority."""
        return self.is_reachable and not self.is_regressed

    @property
    def is_slow(self) -> bool:
        """Whether the series of slow polls is long enough, in number and in time."""
        if self.slow_since_s is None or self.slow_poll_count < MINIMUM_SLOW_POLLS:
            return False
        slow_for_s = (self.answered_at_s or 0.0) - self.slow_since_s
        return slow_for_s >= self.section.slow_after_s

    @property
    def is_fast(self) -> bool:
        """Whether its latest poll was well below the limit for slow ones."""
        limit_s = FAST_POLL_FRACTION * self.section.slow_answer_s
        return self.poll_time_s is not None and self.poll_time_s <= limit_s

    @property
    def highest_term(self) -> int:
        """Highest term that it is known to have granted or followed."""
        if self.status is None:
            return 0
        return max(self.status.term, self.status.fenced_term)

    def is_primary_in(self, term: int) -> bool:
        """Return whether it is primary in a term and granted no higher one.

        Args:
            term: The term.

        Returns:
            Whether its latest status says so.
        """
        return self.has_role(Role.PRIMARY, term)

    def is_following(self, term: int) -> bool:
        """Return whether it is a replica in a term and granted no higher one.

        Args:
            term: The term.

        Returns:
            Whether its latest status says so.
        """
        return self.has_role(Role.REPLICA, term)

    def has_role(self, role: Role, term: int) -> bool:
        """Return whether it has a role in a term and granted no higher one.

        Args:
            role: The role.
            term: The term.

        Returns:
            Whether its latest status says so.
        """
        status = self.status
        return (
            status is not None
            and status.role is role
            and status.term == term
            and status.fenced_term <= term
        )

    async def poll(
        self,
        position: LogPosition = LOG_START,
        wait_s: float = 0.0,
        received: bool = False,
    ) -> UpstreamStatus:
        """Query the status, immediately or once a position is reached.

        Concurrent plain polls share only a poll that has not been sent yet, so that
        the status is never older than the call.

        Args:
            position: Position to wait for.
            wait_s: Longest time to wait for it, in seconds; 0 for a plain poll.
            received: Whether to wait for the received instead of the applied position.

        Returns:
            The status; after a timeout it may be short of the position.

        Raises:
            UpstreamLostError: If the upstream does not reply.
        """
        if wait_s > 0:
            status = await self.position_waits.wait(position, wait_s, received)
            if status is not None:
                return status
        return await asyncio.shield(self.start_poll())

    def start_poll(self) -> asyncio.Task[UpstreamStatus]:
        """Start a plain poll, or join one that has not been sent yet.

        Returns:
            The poll. Others may share it, so it must not be cancelled.
        """
        if self.next_poll is None:
            self.next_poll = asyncio.create_task(self.run_poll())
            self.polls.add(self.next_poll)
            self.next_poll.add_done_callback(self.finish_poll)
        return self.next_poll

    def finish_poll(self, poll: asyncio.Task[UpstreamStatus]) -> None:
        """Discard a finished poll and mark its error as retrieved."""
        self.polls.discard(poll)
        if not poll.cancelled():
            poll.exception()

    async def run_poll(self) -> UpstreamStatus:
        """Send a plain poll once the previous one has finished."""
        timeout_s = self.section.suspect_after_s
        async with self.control.lock:
            self.next_poll = None
            started_s = now_s()
            try:
                status = await self.query_status(started_s + timeout_s)
            except UpstreamLostError as error:
                late_s = now_s() - started_s - timeout_s
                if late_s <= LATE_LIMIT_S:
                    self.record_poll_failure(error, late_s)
                    raise
                started_s = now_s()
                status = await self.repeat_poll(timeout_s * REPEATED_POLL_SHARE)
        self.record_poll_time(now_s() - started_s)
        self.position_waits.resolve_reached(status)
        self.record_status(status, started_s)
        return status

    async def repeat_poll(self, timeout_s: float) -> UpstreamStatus:
        """Poll again after a timeout during which this process stood still.

        The reply may have arrived meanwhile; it is dropped with the connection.

        Args:
            timeout_s: Seconds to wait for the reply.
        """
        deadline_s = now_s() + timeout_s
        try:
            return await self.query_status(deadline_s)
        except UpstreamLostError as error:
            self.record_poll_failure(error, now_s() - deadline_s)
            raise

    def record_poll_time(self, duration_s: float) -> None:
        """Record the duration of a plain poll; one that is not slow ends a slow series.

        Args:
            duration_s: Seconds between the poll and its reply.
        """
        self.poll_time_s = duration_s
        limit_s = self.section.slow_answer_s
        if not limit_s or duration_s <= limit_s:
            self.slow_since_s = None
            self.slow_poll_count = 0
            return
        self.slow_since_s = self.slow_since_s or now_s()
        self.slow_poll_count += 1

    async def query_status(self, deadline_s: float) -> UpstreamStatus:
        """Poll over the control connection, reconnecting once if it was broken.

        Args:
            deadline_s: Monotonic time at which the poll times out.

        Returns:
            The status.

        Raises:
            UpstreamLostError: If no valid reply arrived.
        """
        sql = self.contract.build_poll(LOG_START, 0)
        was_open = self.control.connection is not None
        try:
            result = await self.control.run(sql, deadline_s)
        except UpstreamLostError:
            if not was_open or now_s() >= deadline_s:
                raise
            result = await self.control.run(sql, deadline_s)
        try:
            return self.contract.parse_status(result.rows[0])
        except ValueError as error:
            raise UpstreamLostError(f"cannot parse the status: {error}") from error

    async def call(self, sql: str, timeout_s: float) -> QueryResult:
        """Run a control query, which is never sent twice.

        Args:
            sql: Statement that returns one row.
            timeout_s: Seconds for the whole call.

        Returns:
            The result, which has at least one row.

        Raises:
            UpstreamLostError: If no result arrived or the upstream reported an error.
        """
        return await self.control.query(sql, timeout_s)

    def record_status(self, status: UpstreamStatus, poll_sent_at_s: float) -> None:
        """Store a status and notify the group.

        Replies on two connections may arrive out of order. A status of a lower term
        is dropped if its poll was sent before the current status arrived.

        Args:
            status: The status.
            poll_sent_at_s: Monotonic time at which its poll was sent.
        """
        if (
            self.status is not None
            and status.term < self.status.term
            and poll_sent_at_s <= (self.answered_at_s or 0.0)
        ):
            return
        self.status = status
        self.poll_sent_at_s = poll_sent_at_s
        self.answered_at_s = now_s()
        self.lost_at_s = None
        self.refuses_connections = False
        self.update_state(is_lost=False)
        self.on_status(self)

    def record_poll_failure(self, error: UpstreamLostError, late_s: float) -> None:
        """Record that a poll failed, unless this process was paused.

        Args:
            error: The error of the poll.
            late_s: Seconds between the timeout and the moment this process noticed it.
        """
        if late_s > PAUSE_LIMIT_S or error.sqlstate == TOO_MANY_CONNECTIONS:
            return
        self.refuses_connections = isinstance(error.__cause__, ConnectionRefusedError)
        if self.lost_at_s is None:
            self.lost_at_s = now_s()
        self.update_state(is_lost=True)

    def update_summary(self) -> bool:
        """Update the summary on which decisions depend; return whether it changed.

        Returns:
            Whether role, term, granted term or leaving differ from the last call.
        """
        status = self.status
        if status is None:
            return False
        summary = (status.role, status.term, status.fenced_term, status.leaving)
        if summary == self.summary:
            return False
        self.summary = summary
        return True

    def apply_section(self, section: GroupSection) -> None:
        """Apply a changed section of the group.

        Args:
            section: The section; name and address of this upstream are unchanged.
        """
        self.section = section
        self.pool.section = section
        self.control.section = section
        self.position_waits.control.section = section
        self.position_waits.reply_timeout_s = section.suspect_after_s

    def set_leaving(self, leaving: bool) -> None:
        """Mark it as leaving or not.

        Args:
            leaving: Whether the document or the VM list says that it is leaving.
        """
        self.is_marked_leaving = leaving
        self.update_state(is_lost=self.state == "lost")

    def update_state(self, is_lost: bool) -> None:
        """Move to the matching state and notify the group of a change.

        Args:
            is_lost: Whether the latest poll failed.
        """
        if is_lost:
            target = "lost"
        else:
            target = "departing" if self.is_leaving else "answering"
        if target == self.state or (self.status is None and not is_lost):
            return
        {
            "lost": self.mark_lost,
            "departing": self.mark_departing,
            "answering": self.mark_answering,
        }[target]()
        self.on_change(self)

    def set_connection_limit(self, limit: int) -> None:
        """Set this proxy's share of the upstream's connections.

        Args:
            limit: Number of connections of this proxy, including control connections.
        """
        self.connection_limit = limit
        self.pool.resize(self.compute_pool_limit())

    def compute_pool_limit(self) -> int:
        """Return the number of connections available to callers' transactions."""
        is_primary = self.status is not None and self.status.role is Role.PRIMARY
        control_connections = (
            PRIMARY_CONTROL_CONNECTIONS if is_primary else REPLICA_CONTROL_CONNECTIONS
        )
        return max(1, self.connection_limit - control_connections)


def do_nothing(upstream: Upstream) -> None:
    """Do nothing; the default callback of an upstream without a group."""
