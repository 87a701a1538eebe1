"""Placement of reads: which upstream serves one, and what it must show."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

from ebonyrack.core import metrics
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.logs import log_decision
from ebonyrack.core.position import LOG_START
from ebonyrack.core.position import LogPosition
from ebonyrack.core.registry import Registry
from ebonyrack.routing.read_search import ReadPlacement
from ebonyrack.routing.read_search import ReadRequirement
from ebonyrack.routing.read_search import Search
from ebonyrack.routing.read_search import choose_replica
from ebonyrack.routing.read_search import find_primary
from ebonyrack.routing.read_search import find_replicas
from ebonyrack.routing.read_search import wait_for_replica

if TYPE_CHECKING:
    from ebonyrack.routing.read_index import ReadIndex
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream

__all__ = ["READ_POLICIES", "ReadPlacement", "ReadRequirement", "place_read"]

RETRY_AFTER_S = 0.2
# Between looks for an upstream that can serve while there is none.
RECHECK_S = 0.02
# The "primary_after_write" policy keeps to the primary for this long.
AFTER_WRITE_S = 1.0
# In groups with a larger majority a replica may show what no majority holds yet.
MAJORITY_OF_PRIMARY_AND_REPLICA = 2


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
    group.record_request()
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
    """Log and count a placement, once the present step of the request is done.

    The line would delay what is sent next by more than the decision takes.

    Args:
        group: The database group.
        placement: The placement.
    """
    upstream = placement.upstream
    status = upstream.status
    role = "primary" if upstream.name == group.primary_name else "replica"
    labels = {"group": group.name, "role": role, "reason": placement.reason}
    metrics.placements.add(1, labels)
    log_line = functools.partial(
        log_decision,
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
    asyncio.get_running_loop().call_soon(log_line)


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
    return search.place(replica, minimum, reason, hold, needs_replica=True)


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
    return search.place(primary, LOG_START, "primary_only", hold=False)


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
    replica = choose_replica(search, LOG_START)
    if replica is None:
        return await place_on_primary(search)
    return search.place(replica, LOG_START, "any_replica", hold=False)
