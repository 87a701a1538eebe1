"""A database group: its upstreams, its term and primary, confirmation of writes."""

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

# The group counts as carrying requests for this long after the last one.
REQUEST_MEMORY_S = 2.0
# Bounds on the time to come back that a refusal for want of a primary names.
SHORTEST_RETRY_S = 0.3
LONGEST_RETRY_S = 0.9
# A primary that is leaving serves on for this long, to be replaced without a gap.
LEAVING_PRIMARY_GRACE_S = 2.0
DRAIN_CHECK_S = 0.005


class DatabaseGroup(Component):
    """The upstreams of one group and what this proxy knows of their primary.

    Attributes:
        name: Name of the group.
        section: Its section of the operators' document.
        connection_limit: This proxy's share of each upstream's connections.
        upstreams: Upstreams by name.
        term: Highest term in which a primary was seen.
        primary_name: Name of that primary, or None.
        primary_learned_at_s: Monotonic time at which it was learned.
        acknowledged_term: Highest term in which a write was acknowledged here.
        coordinator_rank: Place of this proxy among the group's coordinators, 0 for the
            first; None if it may not order a promotion.
        confirmations: Writes of the present term that wait for a majority.
        primary_history: Positions of the primary, for the lag of replicas.
        changed: Notified when the primary, a term or reachability changes.
        writes_held_until_s: Monotonic time until which new writes wait for a
            switchover.
        primary_wait: Requests that wait until there is a primary.
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
        self.requested_at_s = 0.0
        self.leaving_since_s: dict[str, float] = {}
        self.monitors: dict[str, UpstreamMonitor] = {}
        self.removals: set[asyncio.Task[None]] = set()
        for spec in section.upstreams:
            self.add_upstream(spec)
        self.confirmations = ConfirmationTracker(0, None, self.majority - 1)
        self.apply_leaving()

    async def start(self) -> None:
        """Start to watch the upstreams."""
        for watch in self.monitors.values():
            watch.start()

    async def stop(self) -> None:
        """Remove all upstreams."""
        for name in tuple(self.upstreams):
            self.remove_upstream(name)
        await asyncio.gather(*self.removals)
        self.confirmations.end_term()

    @property
    def is_coordinator(self) -> bool:
        """Whether this proxy may order a promotion."""
        return self.coordinator_rank is not None

    @property
    def majority(self) -> int:
        """Upstreams in a majority, the primary included."""
        return len(self.section.upstreams) // 2 + 1

    @property
    def is_carrying_requests(self) -> bool:
        """Whether a request came within the last seconds."""
        return now_s() - self.requested_at_s < REQUEST_MEMORY_S

    def add_upstream(self, spec: UpstreamSpec) -> None:
        """Add an upstream without starting its watch.

        Args:
            spec: The upstream.
        """
        upstream = Upstream(spec, self.section, self.connection_limit)
        upstream.on_status = self.observe
        upstream.on_change = self.note_change
        self.upstreams[spec.name] = upstream
        self.monitors[spec.name] = UpstreamMonitor(self, upstream)

    def remove_upstream(self, name: str) -> None:
        """Take an upstream out; its tasks and connections end soon after.

        Args:
            name: Name of the upstream.
        """
        del self.upstreams[name]
        self.leaving_since_s.pop(name, None)
        removal = asyncio.create_task(self.monitors.pop(name).stop())
        self.removals.add(removal)
        removal.add_done_callback(self.removals.discard)

    def reconfigure(self, section: GroupSection) -> None:
        """Take over a changed section.

        Args:
            section: The new section; its upstreams replace those of the old one.
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
        self.confirmations.needed = self.majority - 1
        self.apply_leaving()
        self.changed.notify()

    def apply_leaving(self) -> None:
        """Mark the upstreams that the document names as leaving."""
        for name in self.section.leaving:
            self.mark_leaving(name, True)

    def set_connection_limit(self, per_upstream: int) -> None:
        """Set this proxy's share of each upstream's connections.

        Args:
            per_upstream: Connections, those for control included.
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
            self.update_work(upstream)

    def primary(self) -> Upstream | None:
        """Return the primary if it can take writes now, or None."""
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
        """Return the replicas that may serve reads of the present term."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.counts_in_majority
            and not upstream.is_leaving
            and upstream.is_following(self.term)
        ]

    async def wait_for_primary(self, deadline_s: float, caller: str = "") -> Upstream:
        """Wait until there is a primary that takes writes.

        Args:
            deadline_s: Monotonic time at which to give up.
            caller: Name of the application that asks.

        Returns:
            The primary.

        Raises:
            RequestError: NO_PRIMARY, QUEUE_FULL or WAIT_TOO_LONG with the time to
                come back.
        """
        self.record_request()
        waiter = self.primary_wait.build_waiter(caller, deadline_s)
        while True:
            held_s = self.writes_held_until_s - now_s()
            primary = self.primary()
            if primary is not None and held_s <= 0:
                return primary
            remaining_s = deadline_s - now_s()
            if remaining_s <= 0:
                raise self.build_no_primary_error()
            wait_s = min(remaining_s, held_s) if held_s > 0 else remaining_s
            last_primary = self.upstreams.get(self.primary_name or "")
            await self.primary_wait.wait(waiter, wait_s, self.section, last_primary)

    def hold_writes(self, hold_s: float) -> None:
        """Let new writes wait for a switchover.

        Args:
            hold_s: Seconds for which they wait at most.
        """
        self.writes_held_until_s = now_s() + hold_s

    async def drain_primary(self, limit_s: float) -> bool:
        """Wait until no request of this proxy uses the primary.

        Args:
            limit_s: Seconds to wait at most.

        Returns:
            Whether all ended in time.
        """
        primary = self.upstreams.get(self.primary_name or "")
        if primary is None:
            return True
        deadline_s = now_s() + limit_s
        while primary.pool.busy_count and now_s() < deadline_s:
            await asyncio.sleep(DRAIN_CHECK_S)
        return primary.pool.busy_count == 0

    def release_writes(self) -> None:
        """Let writes go on."""
        self.writes_held_until_s = 0.0
        self.changed.notify()

    def build_no_primary_error(self) -> RequestError:
        """Build the refusal of a write for want of a primary."""
        retry_after_s = random.uniform(SHORTEST_RETRY_S, LONGEST_RETRY_S)
        reason = f"group {self.name}, last term {self.term}"
        return RequestError(ErrorKind.NO_PRIMARY, reason, retry_after_s)

    def record_request(self) -> None:
        """Poll at a shorter interval while the group carries requests."""
        was_idle = not self.is_carrying_requests
        self.requested_at_s = now_s()
        if was_idle and not self.is_coordinator:
            self.wake_monitors()

    def wake_monitors(self) -> None:
        """Poll every upstream at once."""
        for watch in self.monitors.values():
            watch.wake.set()

    def report_connection_lost(self, upstream_name: str, reason: str) -> None:
        """Note that the data path saw a broken connection; polls at once.

        Args:
            upstream_name: Name of the upstream.
            reason: What was seen.
        """
        watch = self.monitors.get(upstream_name)
        if watch is not None:
            logger.bind(group=self.name, upstream=upstream_name, reason=reason).info(
                "connection_lost"
            )
            watch.wake.set()

    def record_primary(self, term: int, primary_name: str) -> None:
        """Take over news of a primary if its term is higher.

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
        waiting = self.confirmations
        self.confirmations = ConfirmationTracker(term, primary_name, self.majority - 1)
        waiting.end_term()
        if previous is not None and not previous.is_reachable:
            # Whoever still waits for the lost primary can't be answered by it.
            close_busy(previous)
        self.primary_wait.serve_by(self.upstreams.get(primary_name), previous)
        for upstream in (previous, self.upstreams.get(primary_name)):
            if upstream is not None:
                self.update_work(upstream)
        metrics.primary_changes.add(1, {"group": self.name})
        logger.bind(group=self.name, term=term, upstream=primary_name).info(
            "primary_learned"
        )
        self.wake_monitors()
        self.changed.notify()

    def record_acknowledgement(self, term: int) -> None:
        """Log how long the first acknowledgement of a term took on this proxy.

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

    def observe(self, upstream: Upstream) -> None:
        """Draw the conclusions from an upstream's answer.

        Args:
            upstream: The upstream that answered.
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
                    status.received, upstream.asked_at_s
                )
        if upstream.confirmed_log.observe(status.received, upstream.asked_at_s):
            self.note_regression(upstream)
        if not upstream.is_regressed:
            if self.confirmations.observe(upstream.name, status):
                self.note_counted()
        if upstream.update_summary():
            self.update_work(upstream)
            upstream.set_connection_limit(self.connection_limit)
            self.changed.notify()

    def note_counted(self) -> None:
        """Remember what the primary and each replica were counted with."""
        confirmations = self.confirmations
        if not confirmations.confirmed:
            return
        primary_name = confirmations.primary_name or ""
        held = {**confirmations.held, primary_name: confirmations.confirmed}
        for name, offset in held.items():
            upstream = self.upstreams.get(name)
            if upstream is not None:
                counted = min(offset, confirmations.confirmed)
                upstream.confirmed_log.count(LogPosition(confirmations.term, counted))

    def note_regression(self, upstream: Upstream) -> None:
        """Log that an upstream lost its log or caught up, and count it accordingly.

        Args:
            upstream: The upstream.
        """
        if upstream.is_regressed:
            self.confirmations.forget(upstream.name)
        log_decision(
            "upstream_regressed" if upstream.is_regressed else "upstream_caught_up",
            group=self.name,
            term=self.term,
            upstream=upstream.name,
            counted=str(upstream.confirmed_log.position),
            received=str(upstream.status.received) if upstream.status else "",
        )
        self.changed.notify()

    def note_change(self, upstream: Upstream) -> None:
        """Log a change of an upstream's state and let its pool follow.

        Args:
            upstream: The upstream.
        """
        logger.bind(group=self.name, upstream=upstream.name, state=upstream.state).info(
            "upstream_state"
        )
        self.update_work(upstream)
        self.changed.notify()

    def update_work(self, upstream: Upstream) -> None:
        """Let an upstream's pool take or refuse new work.

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
                close_busy(upstream)
        elif upstream.is_leaving and not is_primary:
            upstream.pool.stop_new_work()
        else:
            upstream.pool.resume_new_work()

    def end_overdue_work(self, upstream: Upstream) -> None:
        """Close what still runs on an upstream that was to leave long ago.

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
            close_busy(upstream)

    async def confirm(self, position: LogPosition, deadline_s: float) -> None:
        """Wait until a majority of the upstreams holds a committed write.

        Args:
            position: Position of the commit.
            deadline_s: Monotonic time at which to give up.

        Raises:
            RequestError: OUTCOME_UNKNOWN if it was not confirmed in time;
                UPSTREAM_LOST if a change of primary has undone it.
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
        """Wait for a majority within one term.

        Args:
            position: Position of the present term.

        Returns:
            Whether a majority holds it; False if the term ended.
        """
        confirmations = self.confirmations
        if confirmations.term != position.term:
            return False
        return await confirmations.wait(position.offset)

    def compute_confirm_lag(self) -> float:
        """Return how far the slowest replica of the best majority is behind.

        Returns:
            Seconds; infinite if too few replicas follow the primary.
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
            # Just after a promotion the replicas still turn to the new primary.
            return now_s() - (self.primary_learned_at_s or 0.0)
        return lags[needed - 1] if needed else 0.0

    async def poll_all(self) -> None:
        """Poll every upstream once; those that don't answer are noted as lost."""
        polls = [upstream.poll() for upstream in self.upstreams.values()]
        await asyncio.gather(*polls, return_exceptions=True)


def close_busy(upstream: Upstream) -> None:
    """Close the connections that callers' requests use.

    Args:
        upstream: An upstream that will not answer them.
    """
    for connection in tuple(upstream.pool.busy):
        connection.close()
