"""The log position that a read requires, by the consistency of its route."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from ebonyrack.core.position import LogPosition
from ebonyrack.core.registry import Registry
from ebonyrack.members.group import Group
from ebonyrack.routes.route import Consistency
from ebonyrack.routes.route import Route


class ReadRequirement(Struct, frozen=True):
    """What a read must see.

    Attributes:
        position: Position that the upstream's log must hold; None if the read requires
            an upstream that proves to be the primary at the time of the read.
        age_s: Age of the newest position sample, in seconds.
    """

    position: LogPosition | None
    age_s: float = 0.0


PRIMARY_ONLY = ReadRequirement(None)

FindRequirement = Callable[[Route, Group, LogPosition | None, float], ReadRequirement]

READ_REQUIREMENTS: Registry[FindRequirement] = Registry("consistency")


def find_requirement(
    route: Route, group: Group, last_commit: LogPosition | None, arrived_s: float
) -> ReadRequirement:
    """Return what a read must see.

    Args:
        route: Route of the read.
        group: Its database group.
        last_commit: Position of the session's newest commit, or None.
        arrived_s: Arrival time of the read, on the boot clock.
    """
    return READ_REQUIREMENTS.get(route.consistency)(
        route, group, last_commit, arrived_s
    )


@READ_REQUIREMENTS.register(Consistency.PRIMARY)
def require_primary(
    route: Route, group: Group, last_commit: LogPosition | None, arrived_s: float
) -> ReadRequirement:
    """Require every commit that was acknowledged before the read."""
    return PRIMARY_ONLY


@READ_REQUIREMENTS.register(Consistency.STATED_AGE)
def require_stated_age(
    route: Route, group: Group, last_commit: LogPosition | None, arrived_s: float
) -> ReadRequirement:
    """Require every commit that is older than the route's maximum age."""
    oldest_s = arrived_s - route.maximum_age_s
    position = group.position_history.find_position(oldest_s)
    return ReadRequirement(position, group.position_history.measure_age(arrived_s))


@READ_REQUIREMENTS.register(Consistency.READ_YOUR_WRITES)
def require_session_commits(
    route: Route, group: Group, last_commit: LogPosition | None, arrived_s: float
) -> ReadRequirement:
    """Require the session's commits, and others older than the maximum age."""
    requirement = require_stated_age(route, group, last_commit, arrived_s)
    if (
        requirement.position is None
        or last_commit is None
        or last_commit <= requirement.position
    ):
        return requirement
    return ReadRequirement(last_commit, requirement.age_s)
