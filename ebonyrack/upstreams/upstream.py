"""One upstream of a database group: its connections, status and life cycle."""

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

# Lateness beyond a timeout that shows that this process itself was paused.
PAUSE_LIMIT_S = 0.1
# Connections to a replica that are not for callers: polls, and waits for positions.
REPLICA_CONTROL_CONNECTIONS = 2
PRIMARY_CONTROL_CONNECTIONS = 1
TOO_MANY_CONNECTIONS = "53300"
# A pause of this process makes the poll in flight and perhaps the next one slow.
MINIMUM_SLOW_ANSWERS = 3
# A fast answer takes at most this share of the limit for slow ones.
FAST_SHARE = 0.5

LIFE_CYCLE = Machine(
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
    """An upstream as this proxy sees it.

    Attributes:
        spec: Name, address and data centre from the operators' document.
        section: Section of the group.
        pool: Connections for callers' transactions.
        status: Latest answer to a poll, or None.
        asked_at_s: Monotonic time at which that answer was asked for.
        answered_at_s: Monotonic time of that answer, or None.
        confirmed_log: What it was counted with in majorities.
        lost_at_s: Monotonic time at which it was found lost, or None.
        refuses_connections: Whether it was found lost because it refuses
            connections.
        poll_time_s: Seconds that the latest plain poll took, or None.
        slow_since_s: Monotonic time of the first of the slow answers in a row, or
            None if the latest was not slow.
        slow_poll_count: Slow answers in a row.
        is_marked_leaving: Whether the document or the VM list says it is leaving.
        on_status: Called after each answer.
        on_change: Called after a change of state.
        state: `unknown`, `answering`, `departing` (it answers but is leaving) or
            `lost`.
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
        self.asked_at_s = 0.0
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
        self.waits = PositionWaits(
            ControlConnection(spec.address, section),
            self.contract,
            section.suspect_after_s,
            self.record_status,
        )
        self.next_poll: asyncio.Task[UpstreamStatus] | None = None
        self.polls: set[asyncio.Task[UpstreamStatus]] = set()
        self.on_status: Callable[[Upstream], None] = ignore
        self.on_change: Callable[[Upstream], None] = ignore
        LIFE_CYCLE.add_model(self)

    async def start(self) -> None:
        """Start the pool."""
        await self.pool.start()

    async def stop(self) -> None:
        """End the polls, the waits and the connections."""
        await end_tasks(self.polls)
        await self.waits.close()
        self.control.close()
        await self.pool.stop()
        LIFE_CYCLE.remove_model(self)

    @property
    def name(self) -> str:
        """Name of the upstream's VM."""
        return self.spec.name

    @property
    def is_reachable(self) -> bool:
        """Whether it answered the latest poll."""
        return self.state in ("answering", "departing")

    @property
    def is_leaving(self) -> bool:
        """Whether it is about to leave, by anyone's word."""
        return self.is_marked_leaving or (
            self.status is not None and self.status.leaving
        )

    @property
    def is_regressed(self) -> bool:
        """Whether it lost what it was counted with, and so makes no majority."""
        return self.confirmed_log.is_lost

    @property
    def counts_in_majority(self) -> bool:
        """Whether it answered the latest poll and may count in a majority."""
        return self.is_reachable and not self.is_regressed

    @property
    def is_slow(self) -> bool:
        """Whether each answer to a poll was slow for `slow_after_s`."""
        if self.slow_since_s is None or self.slow_poll_count < MINIMUM_SLOW_ANSWERS:
            return False
        lasted_s = (self.answered_at_s or 0.0) - self.slow_since_s
        return lasted_s >= self.section.slow_after_s

    @property
    def is_fast(self) -> bool:
        """Whether its latest answer to a poll was well below the limit."""
        limit_s = FAST_SHARE * self.section.slow_answer_s
        return self.poll_time_s is not None and self.poll_time_s <= limit_s

    @property
    def highest_term(self) -> int:
        """Highest term that it is known to have granted or followed."""
        if self.status is None:
            return 0
        return max(self.status.term, self.status.fenced_term)

    def is_primary_in(self, term: int) -> bool:
        """Tell whether it is primary in a term and granted no higher one.

        Args:
            term: The term.

        Returns:
            Whether its latest status says so.
        """
        return self.has_role(Role.PRIMARY, term)

    def is_following(self, term: int) -> bool:
        """Tell whether it is a replica of a term's primary and granted no higher one.

        Args:
            term: The term.

        Returns:
            Whether its latest status says so.
        """
        return self.has_role(Role.REPLICA, term)

    def has_role(self, role: Role, term: int) -> bool:
        """Tell whether it has a role in a term and granted no higher one.

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
        """Ask for the status, at once or when a position is reached.

        Callers of a plain poll share one that has not been sent yet, so that the
        answer always tells of a moment after the call.

        Args:
            position: Position to wait for.
            wait_s: Seconds to wait for it at most; 0 for a plain poll.
            received: Wait for the received rather than the applied position.

        Returns:
            The status; the position may not be reached if the time was over.

        Raises:
            UpstreamLostError: If the upstream does not answer.
        """
        if wait_s > 0:
            status = await self.waits.wait(position, wait_s, received)
            if status is not None:
                return status
        return await asyncio.shield(self.start_poll())

    def start_poll(self) -> asyncio.Task[UpstreamStatus]:
        """Start a plain poll, or join one that has not been sent yet.

        Returns:
            The poll, which others may share: it is waited for, never cancelled.
        """
        if self.next_poll is None:
            self.next_poll = asyncio.create_task(self.run_poll())
            self.polls.add(self.next_poll)
            self.next_poll.add_done_callback(self.finish_poll)
        return self.next_poll

    def finish_poll(self, poll: asyncio.Task[UpstreamStatus]) -> None:
        """Forget a poll that ended; marks its error as seen."""
        self.polls.discard(poll)
        if not poll.cancelled():
            poll.exception()

    async def run_poll(self) -> UpstreamStatus:
        """Send one plain poll once the one before it is answered."""
        timeout_s = self.section.suspect_after_s
        async with self.control.lock:
            self.next_poll = None
            started_s = now_s()
            try:
                status = await self.query_status(started_s + timeout_s)
            except UpstreamLostError as error:
                if error.sqlstate != TOO_MANY_CONNECTIONS:
                    self.record_poll_failure(error, now_s() - started_s - timeout_s)
                raise
        self.record_poll_time(now_s() - started_s)
        self.waits.settle(status)
        self.record_status(status, started_s)
        return status

    def record_poll_time(self, answer_s: float) -> None:
        """Keep how long a plain poll took; one answer in time ends a slow row.

        Args:
            answer_s: Seconds from sending it to its answer.
        """
        self.poll_time_s = answer_s
        limit_s = self.section.slow_answer_s
        if not limit_s or answer_s <= limit_s:
            self.slow_since_s = None
            self.slow_poll_count = 0
            return
        self.slow_since_s = self.slow_since_s or now_s()
        self.slow_poll_count += 1

    async def query_status(self, deadline_s: float) -> UpstreamStatus:
        """Poll over the control connection, on a new one if the old one broke.

        Args:
            deadline_s: Monotonic time at which it is given up.

        Returns:
            The status.

        Raises:
            UpstreamLostError: If no valid answer came.
        """
        sql = self.contract.build_poll(LOG_START, 0)
        was_open = self.control.connection is not None
        try:
            answer = await self.control.run(sql, deadline_s)
        except UpstreamLostError:
            if not was_open or now_s() >= deadline_s:
                raise
            answer = await self.control.run(sql, deadline_s)
        try:
            return self.contract.parse_status(answer.rows[0])
        except ValueError as error:
            raise UpstreamLostError(f"the status can't be read: {error}") from error

    async def call(self, sql: str, timeout_s: float) -> QueryResult:
        """Run a control query; never sent twice.

        Args:
            sql: Statement that returns a row.
            timeout_s: Seconds for the whole answer.

        Returns:
            The answer, with a row.

        Raises:
            UpstreamLostError: If no answer came or the upstream answered an error.
        """
        return await self.control.query(sql, timeout_s)

    def record_status(self, status: UpstreamStatus, asked_at_s: float) -> None:
        """Keep an answer and tell the group.

        Two connections may answer in another order than they were asked. An answer
        of a lower term is dropped if it was asked for before the present one came.

        Args:
            status: The answer.
            asked_at_s: Monotonic time at which it was asked for.
        """
        if (
            self.status is not None
            and status.term < self.status.term
            and asked_at_s <= (self.answered_at_s or 0.0)
        ):
            return
        self.status = status
        self.asked_at_s = asked_at_s
        self.answered_at_s = now_s()
        self.lost_at_s = None
        self.refuses_connections = False
        self.update_state(is_lost=False)
        self.on_status(self)

    def record_poll_failure(self, error: UpstreamLostError, late_s: float) -> None:
        """Note that the upstream did not answer, unless this process was paused.

        Args:
            error: What happened.
            late_s: Seconds by which this process noticed a timeout too late.
        """
        if late_s > PAUSE_LIMIT_S:
            return
        self.refuses_connections = isinstance(error.__cause__, ConnectionRefusedError)
        if self.lost_at_s is None:
            self.lost_at_s = now_s()
        self.update_state(is_lost=True)

    def update_summary(self) -> bool:
        """Keep what decisions depend on; tell whether it changed.

        Returns:
            Whether role, term, grants or leaving differ from the last call.
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
        """Take over a changed section of the group.

        Args:
            section: The section; address and name of this upstream are the same.
        """
        self.section = section
        self.pool.section = section
        self.control.section = section
        self.waits.control.section = section
        self.waits.answer_timeout_s = section.suspect_after_s

    def set_leaving(self, leaving: bool) -> None:
        """Mark it as leaving or not.

        Args:
            leaving: What the document or the VM list says.
        """
        self.is_marked_leaving = leaving
        self.update_state(is_lost=self.state == "lost")

    def update_state(self, is_lost: bool) -> None:
        """Move to the state that fits; tells the group of a change.

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
            limit: Connections of this proxy in all, those for control included.
        """
        self.connection_limit = limit
        self.pool.resize(self.compute_pool_limit())

    def compute_pool_limit(self) -> int:
        """Return how many connections are left for callers' transactions."""
        is_primary = self.status is not None and self.status.role is Role.PRIMARY
        control = (
            PRIMARY_CONTROL_CONNECTIONS if is_primary else REPLICA_CONTROL_CONNECTIONS
        )
        return max(1, self.connection_limit - control)


def ignore(upstream: Upstream) -> None:
    """Do nothing: the listener of an upstream that has no group."""
