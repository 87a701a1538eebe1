"""Placement of reads: which upstream serves a read and what it must see there."""

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
# Interval between searches while no upstream can serve the read.
RECHECK_INTERVAL_S = 0.02
# The "primary_after_write" policy reads from the primary for this long after a write.
PRIMARY_AFTER_WRITE_S = 1.0
# In groups with a larger majority a replica may expose writes that no majority holds.
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
    """Choose the upstream that serves a read, by the group's read policy.

    Args:
        group: The database group.
        read_index: Its read index.
        requirement: What the read must see.
        deadline_s: Monotonic time at which the request gives up.
        excluded: Names of upstreams that must not serve it.

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
    """Build the error of a search that found no upstream in time.

    Args:
        search: The search.
    """
    names = [item.name for item in find_replicas(search)]
    kind = ErrorKind.POSITION_NOT_REACHED if names else ErrorKind.NO_UPSTREAM
    reason = f"available replicas: {', '.join(names) or 'none'}"
    return RequestError(kind, reason, RETRY_AFTER_S)


def log_placement(group: DatabaseGroup, placement: ReadPlacement) -> None:
    """Count a placement, and log it from a later callback of the event loop.

    Writing the log line takes longer than the decision and would delay the next send.

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
    """Place a read on a replica whose data provably covers what the read must see.

    Args:
        search: The search.

    Returns:
        The placement: a replica that has applied the minimum already, one that gets
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
        await asyncio.sleep(RECHECK_INTERVAL_S)


async def find_minimum(search: Search) -> LogPosition:
    """Return the position that the upstream serving the read must have applied.

    Args:
        search: The search.

    Returns:
        The position; it always covers the session's own writes.

    Raises:
        RequestError: NO_UPSTREAM if a read index is needed but no majority answers.
    """
    requirement = search.requirement
    positions = [requirement.own_writes]
    if requirement.minimum is not None:
        positions.append(requirement.minimum)
    if requirement.max_age_s is not None:
        positions.append(await find_index_for_age(search, requirement.max_age_s))
    elif requirement.minimum is None:
        positions.append(await search.read_index.fetch())
    return max(positions)


async def find_index_for_age(search: Search, max_age_s: float) -> LogPosition:
    """Return a position that data of at most a given age has to cover.

    Args:
        search: The search.
        max_age_s: Largest age of the data, in seconds.

    Returns:
        The position.

    Raises:
        RequestError: NO_UPSTREAM if a new read index is needed but no majority answers.
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
        minimum: Position that it has applied.
        reason: Why this replica was chosen.
    """
    # What a replica has received is held by the replica itself and by the primary.
    hold = search.group.majority > MAJORITY_OF_PRIMARY_AND_REPLICA
    return search.place(replica, minimum, reason, hold, needs_replica=True)


@READ_POLICIES.register("primary_only")
async def place_on_primary(search: Search) -> ReadPlacement:
    """Place every read on the primary, without proof that it is still the primary.

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
async def place_by_last_write(search: Search) -> ReadPlacement:
    """Place reads on the primary for some time after a write, else on any replica.

    Args:
        search: The search.

    Returns:
        The placement.

    Raises:
        RequestError: NO_PRIMARY if there is none in time.
    """
    wrote_at_s = search.requirement.wrote_at_s
    if wrote_at_s is not None and search.started_s - wrote_at_s < PRIMARY_AFTER_WRITE_S:
        return await place_on_primary(search)
    replica = choose_replica(search, LOG_START)
    if replica is None:
        return await place_on_primary(search)
    return search.place(replica, LOG_START, "any_replica", hold=False)
