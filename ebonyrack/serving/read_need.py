"""What a read must see, by the consistency of its route."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ebonyrack.core.position import LogPosition
from ebonyrack.core.registry import Registry
from ebonyrack.members.group import Group
from ebonyrack.routes.route import Consistency
from ebonyrack.routes.route import Route


@dataclass(frozen=True, slots=True)
class ReadNeed:
    """What a read must see.

    Attributes:
        position: Position that the upstream's log must hold; None if only the
            primary, proved to lead at the time of the read, will do.
        age_s: Age of the knowledge on which the position rests, in seconds.
    """

    position: LogPosition | None
    age_s: float = 0.0


AT_PRIMARY = ReadNeed(None)

Find = Callable[[Route, Group, LogPosition | None, float], ReadNeed]

READ_NEEDS: Registry[Find] = Registry("consistency")


def find_need(
    route: Route, group: Group, seen: LogPosition | None, arrived_s: float
) -> ReadNeed:
    """Return what a read must see.

    Args:
        route: Route of the read.
        group: Its database group.
        seen: Position of the session's own newest commit, or None.
        arrived_s: Time of the read's arrival, on the boot clock.
    """
    return READ_NEEDS.get(route.consistency)(route, group, seen, arrived_s)


@READ_NEEDS.register(Consistency.PRIMARY)
def find_primary_need(
    route: Route, group: Group, seen: LogPosition | None, arrived_s: float
) -> ReadNeed:
    """Reads see every commit that was acknowledged before."""
    return AT_PRIMARY


@READ_NEEDS.register(Consistency.STATED_AGE)
def find_aged_need(
    route: Route, group: Group, seen: LogPosition | None, arrived_s: float
) -> ReadNeed:
    """Reads see every commit that is older than the stated age."""
    oldest_s = arrived_s - route.maximum_age_s
    position = group.coverage.find_position(oldest_s)
    return ReadNeed(position, group.coverage.measure_age(arrived_s))


@READ_NEEDS.register(Consistency.READ_YOUR_WRITES)
def find_own_need(
    route: Route, group: Group, seen: LogPosition | None, arrived_s: float
) -> ReadNeed:
    """Reads see the session's own commits, and others' of the stated age."""
    need = find_aged_need(route, group, seen, arrived_s)
    if need.position is None or seen is None or seen <= need.position:
        return need
    return ReadNeed(seen, need.age_s)
