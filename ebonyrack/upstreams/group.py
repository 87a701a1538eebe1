"""A database group: its upstreams, term and primary, and confirmation of writes."""

from __future__ import annotations

import asyncio
import functools
import random
from typing import TYPE_CHECKING

from loguru import logger

from ebonyrack.core import metrics
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.logs import log_decision
from ebonyrack.core.notifier import Notifier
from ebonyrack.core.position import LogPosition
from ebonyrack.upstreams.confirmation import try_confirm
from ebonyrack.upstreams.confirmation_tracker import ConfirmationTracker
from ebonyrack.upstreams.lag import PrimaryHistory
from ebonyrack.upstreams.monitor import UpstreamMonitor
from ebonyrack.upstreams.pool_admission import close_busy_connections
from ebonyrack.upstreams.pool_admission import update_pool_admission
from ebonyrack.upstreams.primary_wait import PrimaryWait
from ebonyrack.upstreams.status_report import handle_status
from ebonyrack.upstreams.upstream import Upstream

if TYPE_CHECKING:
    from ebonyrack.config.sections import GroupSection
    from ebonyrack.config.sections import UpstreamSpec

# The group counts as having recent requests for this long after the last one.
REQUEST_RECENT_S = 2.0
# Range of the random retry-after sent while there is no primary.
MINIMUM_RETRY_AFTER_S = 0.3
MAXIMUM_RETRY_AFTER_S = 0.9
# A leaving primary keeps serving writes for this long, so that it can be replaced
# without an outage.
LEAVING_PRIMARY_GRACE_S = 2.0
DRAIN_CHECK_INTERVAL_S = 0.005


class DatabaseGroup(Component):
    """The upstreams of one group and this proxy's view of their primary.

    Attributes:
        name: Name of the group.
        section: Its section of the operators' document.
        connection_limit: This proxy's share of each upstream's connections.
        upstreams: Upstreams by name.
        term: Highest term in which a primary was seen.
        primary_name: Name of that primary, or None.
        primary_learned_at_s: Monotonic time at which this proxy learned of it.
        acknowledged_term: Highest term in which this proxy acknowledged a write.
        coordinator_rank: Rank of this proxy among the group's coordinators, 0 for the
            first; None if it may not start a promotion.
        confirmations: Writes of the current term that wait for a majority.
        primary_history: Past positions of the primary, from which the replication lag
            is computed.
        changed: Notified when the primary, the term or the reachability of an upstream
            changes.
        writes_held_until_s: Monotonic time until which new writes wait for a
            switchover.
        primary_wait: Queue of the requests that wait for a primary.
    """

    def __init__(self, name: str, section: GroupSection, connection_limit: int) -> None:
        self.name = name
        self.section = section
        self.connection_limit = connection_limit
        self.upstreams: dict[str, Upstream] = {}
        self.term = 0
        self.primary_name: str | None = None
        self.primary_learned_at_s: float | None = None
        self.acknowledged_term = 0
        self.coordinator_rank: int | None = None
        self.primary_history = PrimaryHistory()
        self.changed = Notifier()
        self.writes_held_until_s = 0.0
        self.primary_wait = PrimaryWait(self.changed)
        self.last_request_at_s = 0.0
        self.leaving_since_s: dict[str, float] = {}
        self.monitors: dict[str, UpstreamMonitor] = {}
        self.removals: set[asyncio.Task[None]] = set()
        for spec in section.upstreams:
            self.add_upstream(spec)
        self.confirmations = ConfirmationTracker(0, None, self.majority - 1)
        self.apply_leaving()

    async def start(self) -> None:
        """Start to monitor the upstreams."""
        for monitor in self.monitors.values():
            monitor.start()

    async def stop(self) -> None:
        """Remove all upstreams and end the pending confirmations."""
        for name in tuple(self.upstreams):
            self.remove_upstream(name)
        await asyncio.gather(*self.removals)
        self.confirmations.end_term()

    @property
    def is_coordinator(self) -> bool:
        """Whether this proxy may start a promotion."""
        return self.coordinator_rank is not None

    @property
    def majority(self) -> int:
        """Number of upstreams in a majority, including the primary."""
        return len(self.section.upstreams) // 2 + 1

    @property
    def has_recent_requests(self) -> bool:
        """Whether a request arrived within the last `REQUEST_RECENT_S`."""
        return now_s() - self.last_request_at_s < REQUEST_RECENT_S

    def add_upstream(self, spec: UpstreamSpec) -> None:
        """Add an upstream without starting its monitor.

        Args:
            spec: The upstream.
        """
        upstream = Upstream(spec, self.section, self.connection_limit)
        upstream.on_status = functools.partial(handle_status, self)
        upstream.on_change = self.handle_state_change
        self.upstreams[spec.name] = upstream
        self.monitors[spec.name] = UpstreamMonitor(self, upstream)

    def remove_upstream(self, name: str) -> None:
        """Remove an upstream; its tasks and connections end in the background.

        Args:
            name: Name of the upstream.
        """
        del self.upstreams[name]
        self.leaving_since_s.pop(name, None)
        removal = asyncio.create_task(self.monitors.pop(name).stop())
        self.removals.add(removal)
        removal.add_done_callback(self.removals.discard)

    def reconfigure(self, section: GroupSection) -> None:
        """Apply a changed section.

        Args:
            section: The new section; upstreams are added and removed to match it.
        """
        for name in set(self.section.leaving) - set(section.leaving):
            self.mark_leaving(name, False)
        self.section = section
        wanted = {spec.name: spec for spec in section.upstreams}
        for name, upstream in tuple(self.upstreams.items()):
            if wanted.get(name) != upstream.spec:
                self.remove_upstream(name)
        for spec in section.upstreams:
            if spec.name not in self.upstreams:
                self.add_upstream(spec)
                self.monitors[spec.name].start()
        for upstream in self.upstreams.values():
            upstream.apply_section(section)
        self.confirmations.required_replicas = self.majority - 1
        self.apply_leaving()
        self.changed.notify()

    def apply_leaving(self) -> None:
        """Mark the upstreams that the document lists as leaving."""
        for name in self.section.leaving:
            self.mark_leaving(name, True)

    def set_connection_limit(self, per_upstream: int) -> None:
        """Set this proxy's share of each upstream's connections.

        Args:
            per_upstream: Number of connections, including control connections.
        """
        self.connection_limit = per_upstream
        for upstream in self.upstreams.values():
            upstream.set_connection_limit(per_upstream)

    def mark_leaving(self, upstream_name: str, leaving: bool) -> None:
        """Mark an upstream as leaving or not.

        Args:
            upstream_name: Name of the upstream.
            leaving: Whether it is leaving.
        """
        upstream = self.upstreams.get(upstream_name)
        if upstream is not None:
            upstream.set_leaving(leaving)
            update_pool_admission(self, upstream)

    def primary(self) -> Upstream | None:
        """Return the primary if it accepts writes now, or None."""
        upstream = self.upstreams.get(self.primary_name or "")
        if upstream is None or not upstream.is_reachable:
            return None
        if not upstream.is_primary_in(self.term):
            return None
        leaving_since_s = self.leaving_since_s.get(upstream.name)
        if leaving_since_s is not None:
            if now_s() - leaving_since_s > LEAVING_PRIMARY_GRACE_S:
                return None
        return upstream

    def replicas(self) -> list[Upstream]:
        """Return the replicas that may serve reads of the current term."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.counts_in_majority
            and not upstream.is_leaving
            and upstream.is_following(self.term)
        ]

    async def wait_for_primary(self, deadline_s: float, caller: str = "") -> Upstream:
        """Wait until there is a primary that accepts writes.

        Args:
            deadline_s: Monotonic time at which the wait times out.
            caller: Application name of the caller.

        Returns:
            The primary.

        Raises:
            RequestError: NO_PRIMARY, QUEUE_FULL or WAIT_TOO_LONG, with a retry-after.
        """
        self.record_request()
        waiter = self.primary_wait.build_waiter(caller, deadline_s)
        while True:
            hold_s = self.writes_held_until_s - now_s()
            primary = self.primary()
            if primary is not None and hold_s <= 0:
                return primary
            remaining_s = deadline_s - now_s()
            if remaining_s <= 0:
                raise self.build_no_primary_error()
            wait_s = min(remaining_s, hold_s) if hold_s > 0 else remaining_s
            last_primary = self.upstreams.get(self.primary_name or "")
            await self.primary_wait.wait(waiter, wait_s, self.section, last_primary)

    def hold_writes(self, hold_s: float) -> None:
        """Make new writes wait for a switchover.

        Args:
            hold_s: Longest time that they wait, in seconds.
        """
        self.writes_held_until_s = now_s() + hold_s

    async def drain_primary(self, limit_s: float) -> bool:
        """Wait until no request of this proxy uses the primary.

        Args:
            limit_s: Longest time to wait, in seconds.

        Returns:
            Whether all of them ended in time.
        """
        primary = self.upstreams.get(self.primary_name or "")
        if primary is None:
            return True
        deadline_s = now_s() + limit_s
        while primary.pool.busy_count and now_s() < deadline_s:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        return primary.pool.busy_count == 0

    def release_writes(self) -> None:
        """Let held writes proceed."""
        self.writes_held_until_s = 0.0
        self.changed.notify()

    def build_no_primary_error(self) -> RequestError:
        """Build the error for a write that found no primary."""
        retry_after_s = random.uniform(MINIMUM_RETRY_AFTER_S, MAXIMUM_RETRY_AFTER_S)
        reason = f"group {self.name}, last term {self.term}"
        return RequestError(ErrorKind.NO_PRIMARY, reason, retry_after_s)

    def record_request(self) -> None:
        """Record a request, which shortens the poll interval for a while."""
        was_idle = not self.has_recent_requests
        self.last_request_at_s = now_s()
        if was_idle and not self.is_coordinator:
            self.wake_monitors()

    def wake_monitors(self) -> None:
        """Poll every upstream immediately."""
        for monitor in self.monitors.values():
            monitor.wake.set()

    def report_connection_lost(self, upstream_name: str, reason: str) -> None:
        """Log a lost connection to an upstream and poll the upstream immediately.

        Args:
            upstream_name: Name of the upstream.
            reason: Why the connection was lost.
        """
        monitor = self.monitors.get(upstream_name)
        if monitor is not None:
            logger.bind(group=self.name, upstream=upstream_name, reason=reason).info(
                "connection_lost"
            )
            monitor.wake.set()

    def record_primary(self, term: int, primary_name: str) -> None:
        """Record a primary if its term is higher than the current one.

        Args:
            term: Its term.
            primary_name: Its name.
        """
        if term <= self.term:
            return
        previous = self.upstreams.get(self.primary_name or "")
        self.term = term
        self.primary_name = primary_name
        self.primary_learned_at_s = now_s()
        self.writes_held_until_s = 0.0
        self.primary_history.clear()
        previous_confirmations = self.confirmations
        self.confirmations = ConfirmationTracker(term, primary_name, self.majority - 1)
        previous_confirmations.end_term()
        if previous is not None and not previous.is_reachable:
            # Requests still in flight to the unreachable primary will get no reply.
            close_busy_connections(previous)
        self.primary_wait.switch_primary(self.upstreams.get(primary_name), previous)
        for upstream in (previous, self.upstreams.get(primary_name)):
            if upstream is not None:
                update_pool_admission(self, upstream)
        metrics.primary_changes.add(1, {"group": self.name})
        logger.bind(group=self.name, term=term, upstream=primary_name).info(
            "primary_learned"
        )
        self.wake_monitors()
        self.changed.notify()

    def record_acknowledgement(self, term: int) -> None:
        """Log how long this proxy took to the first acknowledgement of a term.

        Args:
            term: Term of an acknowledged write.
        """
        if term <= self.acknowledged_term or term != self.term:
            return
        self.acknowledged_term = term
        log_decision(
            "first_acknowledgement",
            group=self.name,
            term=term,
            upstream=self.primary_name,
            reconnection_s=round(now_s() - (self.primary_learned_at_s or now_s()), 4),
        )

    def handle_state_change(self, upstream: Upstream) -> None:
        """Log a change of an upstream's state and update its pool.

        Args:
            upstream: The upstream.
        """
        logger.bind(group=self.name, upstream=upstream.name, state=upstream.state).info(
            "upstream_state"
        )
        update_pool_admission(self, upstream)
        self.changed.notify()

    async def confirm(self, position: LogPosition, deadline_s: float) -> None:
        """Wait until a majority of the upstreams holds a committed write.

        Args:
            position: Position of the commit.
            deadline_s: Monotonic time at which the wait times out.

        Raises:
            RequestError: OUTCOME_UNKNOWN if it was not confirmed in time;
                UPSTREAM_LOST if a change of primary has discarded it.
        """
        self.record_request()
        try:
            async with asyncio.timeout(max(0.0, deadline_s - now_s())):
                while not await try_confirm(self, position):
                    pass
        except TimeoutError:
            raise RequestError(
                ErrorKind.OUTCOME_UNKNOWN,
                f"committed at {position}, not confirmed by a majority in time",
            ) from None

    async def wait_for_majority(self, position: LogPosition) -> bool:
        """Wait within one term until a majority holds a position.

        Args:
            position: Position in the current term.

        Returns:
            Whether a majority holds it; False if the term ended.
        """
        confirmations = self.confirmations
        if confirmations.term != position.term:
            return False
        return await confirmations.wait(position.offset)

    async def poll_all(self) -> None:
        """Poll every upstream once; those that don't reply are recorded as lost."""
        polls = [upstream.poll() for upstream in self.upstreams.values()]
        await asyncio.gather(*polls, return_exceptions=True)
