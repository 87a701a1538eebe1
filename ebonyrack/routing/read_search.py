"""Search for an upstream whose data covers what a read must see."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ebonyrack.core.clock import now_s
from ebonyrack.core.position import LOG_START
from ebonyrack.core.position import LogPosition
from ebonyrack.core.tasks import end_tasks
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.status import Role

if TYPE_CHECKING:
    from ebonyrack.routing.read_index import ReadIndex
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream


@dataclass(frozen=True, slots=True)
class ReadRequirement:
    """What a read must see.

    Attributes:
        minimum: Position from the session's token, or None to see every write
            acknowledged before the read.
        max_age_s: Largest age of the data, in seconds, or None.
        own_writes: Position of the session's own last write; LOG_START for none.
        wrote_at_s: Monotonic time of that write, or None.
    """

    minimum: LogPosition | None = None
    max_age_s: float | None = None
    own_writes: LogPosition = LOG_START
    wrote_at_s: float | None = None


@dataclass(frozen=True, slots=True)
class ReadPlacement:
    """Where a read is served.

    Attributes:
        upstream: The upstream.
        minimum: Position that the upstream has applied.
        reason: Why this upstream was chosen.
        waited_s: Seconds spent on the decision.
        hold_until_confirmed: Whether the answer may expose writes that no majority
            holds yet, so that it has to be held back until one does.
        needs_replica: Whether the answer is valid only if the upstream is still a
            replica when it ends; one that was promoted meanwhile may expose writes
            that no majority holds.
    """

    upstream: Upstream
    minimum: LogPosition
    reason: str
    waited_s: float
    hold_until_confirmed: bool
    needs_replica: bool = False


@dataclass(frozen=True, slots=True)
class Search:
    """One search for an upstream.

    Attributes:
        group: The database group.
        read_index: Its read index.
        requirement: What the read must see.
        deadline_s: Monotonic time at which the request gives up.
        excluded: Names of upstreams that must not serve it.
        started_s: Monotonic time at which the search began.
    """

    group: DatabaseGroup
    read_index: ReadIndex
    requirement: ReadRequirement
    deadline_s: float
    excluded: frozenset[str]
    started_s: float

    def place(
        self,
        upstream: Upstream,
        minimum: LogPosition,
        reason: str,
        hold: bool,
        needs_replica: bool = False,
    ) -> ReadPlacement:
        """Build the placement that ends the search."""
        waited_s = now_s() - self.started_s
        return ReadPlacement(upstream, minimum, reason, waited_s, hold, needs_replica)


def find_replicas(search: Search) -> list[Upstream]:
    """Return the replicas that may serve reads.

    A replica's log may still end with entries that no majority ever held: those that it
    wrote as primary or received from a primary that was replaced. Its data is valid
    once it has applied an entry of the term that it follows, which drops them. A vote
    in a ballot changes nothing in its data, so the replica keeps serving.

    Args:
        search: The search.
    """
    group = search.group
    return [
        upstream
        for upstream in group.upstreams.values()
        if upstream.name not in search.excluded
        and upstream.name != group.primary_name
        and upstream.is_reachable
        and not upstream.is_leaving
        and follows_term(upstream, group.term)
    ]


def follows_term(upstream: Upstream, term: int) -> bool:
    """Whether an upstream is a replica of a term that has applied an entry of it.

    Args:
        upstream: The upstream.
        term: The term.
    """
    status = upstream.status
    return (
        status is not None
        and status.role is Role.REPLICA
        and status.term == term
        and status.applied.term == term
    )


def choose_replica(search: Search, minimum: LogPosition) -> Upstream | None:
    """Choose the least busy replica that is known to have applied a position.

    Args:
        search: The search.
        minimum: The position.

    Returns:
        The replica, or None.
    """
    reached = [item for item in find_replicas(search) if has_applied(item, minimum)]
    return min(reached, key=rank_by_load, default=None)


def has_applied(upstream: Upstream, minimum: LogPosition) -> bool:
    """Whether an upstream is known to have applied a position.

    Args:
        upstream: The upstream.
        minimum: The position.
    """
    return upstream.status is not None and upstream.status.applied >= minimum


def rank_by_load(upstream: Upstream) -> tuple[float, float]:
    """Return the sort key of an upstream by load; the least loaded comes first.

    Args:
        upstream: The upstream.

    Returns:
        Requests per connection of its pool, and a random number that spreads
        requests over equally loaded upstreams.
    """
    pool = upstream.pool
    load = (pool.busy_count + pool.waiting_count) / pool.limit
    return load, random.random()


async def wait_for_replica(search: Search, minimum: LogPosition) -> Upstream | None:
    """Wait until a replica has applied a position.

    Args:
        search: The search.
        minimum: The position.

    Returns:
        The first replica to apply it, or None after the group's `read_wait_s` or if
        no replica is expected to apply it by then.
    """
    wait_s = search.group.section.read_wait_s
    lag_limit_s = wait_s if find_primary(search, minimum) is not None else None
    candidates = [
        upstream
        for upstream in find_replicas(search)
        if lag_limit_s is None or measure_lag(search.group, upstream) <= lag_limit_s
    ]
    if wait_s <= 0 or not candidates:
        return None
    polls = {
        asyncio.create_task(poll_until_reached(upstream, minimum, wait_s))
        for upstream in candidates
    }
    try:
        while polls:
            done, polls = await asyncio.wait(polls, return_when=asyncio.FIRST_COMPLETED)
            reached = {task.result() for task in done} - {None}
            usable = [item for item in find_replicas(search) if item in reached]
            if usable:
                return min(usable, key=rank_by_load)
    finally:
        await end_tasks(polls)
    return None


async def poll_until_reached(
    upstream: Upstream, minimum: LogPosition, wait_s: float
) -> Upstream | None:
    """Wait until one replica has applied a position.

    Args:
        upstream: The replica.
        minimum: The position.
        wait_s: Seconds to wait.

    Returns:
        The replica, or None if it did not apply the position in time.
    """
    try:
        status = await upstream.poll(minimum, wait_s)
    except UpstreamLostError:
        return None
    return upstream if status.applied >= minimum else None


def measure_lag(group: DatabaseGroup, upstream: Upstream) -> float:
    """Return the replication lag of a replica, in seconds.

    Args:
        group: The database group.
        upstream: The replica.

    Returns:
        Seconds for which the primary has been past the position that the replica has
        applied.
    """
    if upstream.status is None:
        return 0.0
    return group.primary_history.compute_lag(upstream.status.applied)


def find_primary(search: Search, minimum: LogPosition) -> Upstream | None:
    """Return the primary if its data is certain to cover a position.

    A primary holds every entry that a majority held before its term, and all of
    its own term. A position of a higher term proves that it was replaced.

    Args:
        search: The search.
        minimum: The position.
    """
    primary = search.group.primary()
    if primary is None or primary.name in search.excluded:
        return None
    status = primary.status
    if status is None or status.term < minimum.term:
        return None
    return primary
