"""Placement of reads: which upstream serves one, and what it must show."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ebonyrack.core import metrics
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.logs import log_decision
from ebonyrack.core.position import START
from ebonyrack.core.position import LogPosition
from ebonyrack.core.registry import Registry
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.status import Role

if TYPE_CHECKING:
    from ebonyrack.routing.read_index import ReadIndex
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

RETRY_AFTER_S = 0.2
# Between looks for an upstream that can serve while there is none.
RECHECK_S = 0.02
# The "primary_after_write" policy keeps to the primary for this long.
AFTER_WRITE_S = 1.0
# In groups with a larger majority a replica may show what no majority holds yet.
MAJORITY_OF_PRIMARY_AND_REPLICA = 2


@dataclass(frozen=True, slots=True)
class ReadRequirement:
    """What a read must see.

    Attributes:
        minimum: Position from the session's token, or None to see every write
            acknowledged before the read.
        max_age_s: Age that the data may have, in seconds, or None.
        own_writes: Position of the session's own last write; START for none.
        wrote_at_s: Monotonic time of that write, or None.
    """

    minimum: LogPosition | None = None
    max_age_s: float | None = None
    own_writes: LogPosition = START
    wrote_at_s: float | None = None


@dataclass(frozen=True, slots=True)
class ReadPlacement:
    """Where a read is served.

    Attributes:
        upstream: The upstream.
        minimum: Position that the upstream shows.
        reason: Why this one.
        waited_s: Seconds spent on the decision.
        hold_until_confirmed: Whether the answer may show writes that no majority
            holds yet, so that it has to wait until one does.
    """

    upstream: Upstream
    minimum: LogPosition
    reason: str
    waited_s: float
    hold_until_confirmed: bool


@dataclass(frozen=True, slots=True)
class Search:
    """One search for an upstream.

    Attributes:
        group: The database group.
        read_index: Its read index.
        requirement: What the read must see.
        deadline_s: Monotonic time at which the request gives up.
        excluded: Names of upstreams that are not to serve it.
        started_s: Monotonic time of its beginning.
    """

    group: DatabaseGroup
    read_index: ReadIndex
    requirement: ReadRequirement
    deadline_s: float
    excluded: frozenset[str]
    started_s: float

    def place(
        self, upstream: Upstream, minimum: LogPosition, reason: str, hold: bool
    ) -> ReadPlacement:
        """Build the placement that ends the search."""
        waited_s = now_s() - self.started_s
        return ReadPlacement(upstream, minimum, reason, waited_s, hold)


ReadPolicy = Callable[[Search], Awaitable[ReadPlacement]]
READ_POLICIES: Registry[ReadPolicy] = Registry("read policy")


async def place_read(
    group: DatabaseGroup,
    read_index: ReadIndex,
    requirement: ReadRequirement,
    deadline_s: float,
    excluded: frozenset[str] = frozenset(),
) -> ReadPlacement:
    """Choose the upstream that serves a read, by the policy of the group's section.

    Args:
        group: The database group.
        read_index: Its read index.
        requirement: What the read must see.
        deadline_s: Monotonic time at which the request gives up.
        excluded: Names of upstreams that are not to serve it.

    Returns:
        The placement.

    Raises:
        RequestError: NO_UPSTREAM, NO_PRIMARY or POSITION_NOT_REACHED.
    """
    search = Search(group, read_index, requirement, deadline_s, excluded, now_s())
    policy = READ_POLICIES.get(group.section.read_policy)
    try:
        async with asyncio.timeout(deadline_s - search.started_s):
            placement = await policy(search)
    except TimeoutError:
        raise build_refusal(search) from None
    log_placement(group, placement)
    return placement


def build_refusal(search: Search) -> RequestError:
    """Build the error of a search that found nothing in time.

    Args:
        search: The search.
    """
    names = [item.name for item in find_replicas(search)]
    kind = ErrorKind.POSITION_NOT_REACHED if names else ErrorKind.NO_UPSTREAM
    reason = f"replicas that answer: {', '.join(names) or 'none'}"
    return RequestError(kind, reason, RETRY_AFTER_S)


def log_placement(group: DatabaseGroup, placement: ReadPlacement) -> None:
    """Log and count a placement.

    Args:
        group: The database group.
        placement: The placement.
    """
    upstream = placement.upstream
    status = upstream.status
    log_decision(
        "read_placed",
        group=group.name,
        upstream=upstream.name,
        reason=placement.reason,
        term=group.term,
        minimum=str(placement.minimum),
        applied=str(status.applied) if status is not None else "",
        waited_ms=round(placement.waited_s * 1000, 2),
        held=placement.hold_until_confirmed,
    )
    role = "primary" if upstream.name == group.primary_name else "replica"
    labels = {"group": group.name, "role": role, "reason": placement.reason}
    metrics.placements.add(1, labels)


@READ_POLICIES.register("quorum")
async def place_by_quorum(search: Search) -> ReadPlacement:
    """Place a read on a replica that provably shows what it must see.

    Args:
        search: The search.

    Returns:
        The placement: a replica that shows the minimum already, one that gets
        there within the group's `read_wait_s`, or the primary.

    Raises:
        RequestError: NO_UPSTREAM if no majority answers.
    """
    minimum = await find_minimum(search)
    while True:
        replica = choose_replica(search, minimum)
        if replica is not None:
            return place_on_replica(search, replica, minimum, "reached")
        replica = await wait_for_replica(search, minimum)
        if replica is not None:
            return place_on_replica(search, replica, minimum, "waited")
        primary = find_primary(search, minimum)
        if primary is not None:
            return search.place(primary, minimum, "primary", hold=True)
        await asyncio.sleep(RECHECK_S)


async def find_minimum(search: Search) -> LogPosition:
    """Return the position that whoever serves the read must show.

    Args:
        search: The search.

    Returns:
        The position; the session's own writes are always within it.

    Raises:
        RequestError: NO_UPSTREAM if a read index is needed and can't be had.
    """
    requirement = search.requirement
    positions = [requirement.own_writes]
    if requirement.minimum is not None:
        positions.append(requirement.minimum)
    if requirement.max_age_s is not None:
        positions.append(await find_aged_index(search, requirement.max_age_s))
    elif requirement.minimum is None:
        positions.append(await search.read_index.fetch())
    return max(positions)


async def find_aged_index(search: Search, max_age_s: float) -> LogPosition:
    """Return a position that proves that data is not older than stated.

    Args:
        search: The search.
        max_age_s: Age that the data may have, in seconds.

    Returns:
        The position.

    Raises:
        RequestError: NO_UPSTREAM if a new read index is needed and can't be had.
    """
    known = search.read_index.find_index(search.started_s - max_age_s)
    if known is not None:
        return known
    return await search.read_index.fetch()


def find_replicas(search: Search) -> list[Upstream]:
    """Return the replicas whose data may be shown.

    A replica's log may still end with entries that no majority ever held: those
    that it wrote as primary, or took from one that was replaced. Its data counts
    once it has applied an entry of the term that it follows, which drops them.
    A grant to a ballot changes nothing in its data, so it serves on.

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
    """Whether an upstream is a replica that shows entries of a term.

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
    """Choose the least busy replica that is known to show a position.

    Args:
        search: The search.
        minimum: The position.

    Returns:
        The replica, or None.
    """
    reached = [item for item in find_replicas(search) if has_applied(item, minimum)]
    return min(reached, key=measure_load, default=None)


def has_applied(upstream: Upstream, minimum: LogPosition) -> bool:
    """Whether an upstream is known to show a position.

    Args:
        upstream: The upstream.
        minimum: The position.
    """
    return upstream.status is not None and upstream.status.applied >= minimum


def measure_load(upstream: Upstream) -> tuple[float, float]:
    """Return the requests on an upstream's pool for each of its connections.

    Args:
        upstream: The upstream.

    Returns:
        The load, and a random number that spreads requests over equal loads.
    """
    pool = upstream.pool
    load = (pool.busy_count + pool.waiting_count) / pool.limit
    return load, random.random()


async def wait_for_replica(search: Search, minimum: LogPosition) -> Upstream | None:
    """Wait until a replica shows a position.

    Args:
        search: The search.
        minimum: The position.

    Returns:
        The first replica that gets there, or None after the group's `read_wait_s`
        or if none is expected to get there by then.
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
        asyncio.create_task(poll_reached(upstream, minimum, wait_s))
        for upstream in candidates
    }
    try:
        while polls:
            done, polls = await asyncio.wait(polls, return_when=asyncio.FIRST_COMPLETED)
            reached = {task.result() for task in done} - {None}
            usable = [item for item in find_replicas(search) if item in reached]
            if usable:
                return min(usable, key=measure_load)
    finally:
        for task in polls:
            task.cancel()
        await asyncio.gather(*polls, return_exceptions=True)
    return None


async def poll_reached(
    upstream: Upstream, minimum: LogPosition, wait_s: float
) -> Upstream | None:
    """Wait until one replica shows a position.

    Args:
        upstream: The replica.
        minimum: The position.
        wait_s: Seconds to wait.

    Returns:
        The replica, or None if it did not get there.
    """
    try:
        status = await upstream.poll(minimum, wait_s)
    except UpstreamLostError:
        return None
    return upstream if status.applied >= minimum else None


def measure_lag(group: DatabaseGroup, upstream: Upstream) -> float:
    """Return for how long the primary has been past what a replica shows.

    Args:
        group: The database group.
        upstream: The replica.

    Returns:
        Seconds.
    """
    if upstream.status is None:
        return 0.0
    return group.history.compute_lag(upstream.status.applied)


def find_primary(search: Search, minimum: LogPosition) -> Upstream | None:
    """Return the primary if its data surely covers a position.

    A primary holds every entry that a majority held before its term, and all of
    its own term. A position of a higher term shows that it was replaced.

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


def place_on_replica(
    search: Search, replica: Upstream, minimum: LogPosition, reason: str
) -> ReadPlacement:
    """Build the placement on a replica.

    Args:
        search: The search.
        replica: The replica.
        minimum: Position that it shows.
        reason: Why this one.
    """
    # What a replica has received is held by itself and by the primary.
    hold = search.group.majority > MAJORITY_OF_PRIMARY_AND_REPLICA
    return search.place(replica, minimum, reason, hold)


@READ_POLICIES.register("primary_only")
async def place_on_primary(search: Search) -> ReadPlacement:
    """Place every read on the primary, without proof that it still is one.

    Args:
        search: The search.

    Returns:
        The placement.

    Raises:
        RequestError: NO_PRIMARY if there is none in time.
    """
    primary = await search.group.wait_for_primary(search.deadline_s)
    return search.place(primary, START, "primary_only", hold=False)


@READ_POLICIES.register("primary_after_write")
async def place_by_time(search: Search) -> ReadPlacement:
    """Place reads on the primary for a time after a write, else on any replica.

    Args:
        search: The search.

    Returns:
        The placement.

    Raises:
        RequestError: NO_PRIMARY if there is none in time.
    """
    wrote_at_s = search.requirement.wrote_at_s
    if wrote_at_s is not None and search.started_s - wrote_at_s < AFTER_WRITE_S:
        return await place_on_primary(search)
    replica = choose_replica(search, START)
    if replica is None:
        return await place_on_primary(search)
    return search.place(replica, START, "any_replica", hold=False)
