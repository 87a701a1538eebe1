"""A database group: its upstreams, term and primary, and confirmation of writes."""

from __future__ import annotations

import asyncio
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
from ebonyrack.upstreams.primary_wait import PrimaryWait
from ebonyrack.upstreams.status import Role
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
        upstream.on_status = self.handle_status
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
            self.update_pool_admission(upstream)

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
                self.update_pool_admission(upstream)
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

    def handle_status(self, upstream: Upstream) -> None:
        """Update the group from an upstream's latest status.

        Args:
            upstream: The upstream that reported it.
        """
        status = upstream.status
        if status is None or self.upstreams.get(upstream.name) is not upstream:
            return
        if status.role is Role.PRIMARY:
            self.record_primary(status.term, upstream.name)
        if upstream.name == self.primary_name and upstream.is_primary_in(self.term):
            self.primary_history.add(status.received)
            for other in self.upstreams.values():
                other.confirmed_log.observe_primary(
                    status.received, upstream.poll_sent_at_s
                )
        if upstream.confirmed_log.observe(status.received, upstream.poll_sent_at_s):
            self.handle_log_regression(upstream)
        if not upstream.is_regressed:
            if self.confirmations.observe(upstream.name, status):
                self.record_confirmed_positions()
        if upstream.update_summary():
            self.update_pool_admission(upstream)
            upstream.set_connection_limit(self.connection_limit)
            self.changed.notify()

    def record_confirmed_positions(self) -> None:
        """Record the confirmed position that the primary and each replica hold."""
        confirmations = self.confirmations
        if not confirmations.confirmed_offset:
            return
        primary_name = confirmations.primary_name or ""
        offsets = {
            **confirmations.held_offsets,
            primary_name: confirmations.confirmed_offset,
        }
        for name, offset in offsets.items():
            upstream = self.upstreams.get(name)
            if upstream is not None:
                confirmed_offset = min(offset, confirmations.confirmed_offset)
                upstream.confirmed_log.record_confirmed(
                    LogPosition(confirmations.term, confirmed_offset)
                )

    def handle_log_regression(self, upstream: Upstream) -> None:
        """Handle the loss of an upstream's log, or its catching up again.

        Args:
            upstream: The upstream.
        """
        if upstream.is_regressed:
            self.confirmations.discard_replica(upstream.name)
        log_decision(
            "upstream_regressed" if upstream.is_regressed else "upstream_caught_up",
            group=self.name,
            term=self.term,
            upstream=upstream.name,
            counted=str(upstream.confirmed_log.position),
            received=str(upstream.status.received) if upstream.status else "",
        )
        self.changed.notify()

    def handle_state_change(self, upstream: Upstream) -> None:
        """Log a change of an upstream's state and update its pool.

        Args:
            upstream: The upstream.
        """
        logger.bind(group=self.name, upstream=upstream.name, state=upstream.state).info(
            "upstream_state"
        )
        self.update_pool_admission(upstream)
        self.changed.notify()

    def update_pool_admission(self, upstream: Upstream) -> None:
        """Open or close an upstream's pool for new requests, according to its state.

        Args:
            upstream: The upstream.
        """
        is_primary = upstream.name == self.primary_name
        if upstream.is_leaving:
            self.leaving_since_s.setdefault(upstream.name, now_s())
        else:
            self.leaving_since_s.pop(upstream.name, None)
        if upstream.state == "lost":
            upstream.pool.stop_new_work()
            if not is_primary or upstream.refuses_connections:
                close_busy_connections(upstream)
        elif upstream.is_leaving and not is_primary:
            upstream.pool.stop_new_work()
        else:
            upstream.pool.resume_new_work()

    def close_overdue_connections(self, upstream: Upstream) -> None:
        """Close busy connections of an upstream that has been leaving for too long.

        Args:
            upstream: An upstream of the group.
        """
        since_s = self.leaving_since_s.get(upstream.name)
        if since_s is None or not upstream.pool.busy:
            return
        if now_s() - since_s > self.section.leaving_limit_s:
            logger.bind(
                group=self.name,
                upstream=upstream.name,
                connections=len(upstream.pool.busy),
            ).warning("leaving_limit_passed")
            close_busy_connections(upstream)

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

    def compute_confirm_lag(self) -> float:
        """Return the replication lag of the slowest replica in the fastest majority.

        Returns:
            The lag in seconds; infinite if too few replicas are reachable.
        """
        needed = self.majority - 1
        reachable = [
            upstream
            for upstream in self.upstreams.values()
            if upstream.is_reachable and upstream.name != self.primary_name
        ]
        if len(reachable) < needed:
            return float("inf")
        lags = sorted(
            self.primary_history.compute_lag(upstream.status.received)
            for upstream in reachable
            if upstream.status is not None and upstream.is_following(self.term)
        )
        if len(lags) < needed:
            # Shortly after a promotion the replicas still switch to the new primary.
            return now_s() - (self.primary_learned_at_s or 0.0)
        return lags[needed - 1] if needed else 0.0

    async def poll_all(self) -> None:
        """Poll every upstream once; those that don't reply are recorded as lost."""
        polls = [upstream.poll() for upstream in self.upstreams.values()]
        await asyncio.gather(*polls, return_exceptions=True)


def close_busy_connections(upstream: Upstream) -> None:
    """Close the connections that callers' requests use.

    Args:
        upstream: An upstream from which they can expect no reply.
    """
    for connection in tuple(upstream.pool.busy):
        connection.close()
