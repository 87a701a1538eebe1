"""Rules for changing the upstreams of a running group."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ebonyrack.config.document import Document
    from ebonyrack.config.sections import GroupSection
    from ebonyrack.config.stored import EditRecord

# A proxy that had no contact for this long is cut off and rejects new work.
PROPAGATION_LIMIT_S = 30


def check_upstream_changes(
    current: Document,
    wanted: Document,
    history: Iterable[EditRecord],
    current_time_s: int,
) -> tuple[str, ...]:
    """Refuse changes after which two majorities of a group may not overlap.

    Proxies apply a revision one after the other. As long as sets of upstreams that
    are in force at the same time differ by one member, each majority of one
    overlaps each majority of the other, so no ballot misses an acknowledged write.

    Args:
        current: The document in force.
        wanted: The document that would replace it.
        history: Recent edits.
        current_time_s: The wall clock, in seconds since 1970.

    Returns:
        One reason for each group whose change is refused.
    """
    reasons = []
    for name, section in wanted.groups.items():
        before = current.groups.get(name)
        if before is None:
            continue
        count = count_differences(before, section)
        if count > 1:
            reasons.append(
                f"[group {name}] upstreams: add or remove one upstream at a time;"
                f" this changes {count}"
            )
        elif count == 1:
            reasons.extend(check_recent_edits(name, history, current_time_s))
    return tuple(reasons)


def count_differences(before: GroupSection, after: GroupSection) -> int:
    """Count the upstreams that one section has and the other lacks.

    An upstream whose address changes counts twice, since it is another server.
    """
    old = {(spec.name, spec.address) for spec in before.upstreams}
    new = {(spec.name, spec.address) for spec in after.upstreams}
    return len(old ^ new)


def check_recent_edits(
    name: str, history: Iterable[EditRecord], current_time_s: int
) -> list[str]:
    """Refuse a change while a recent edit of the group may not be in force everywhere.

    Args:
        name: Name of the group.
        history: Recent edits.
        current_time_s: The wall clock, in seconds since 1970.

    Returns:
        At most one reason.
    """
    recent = [
        edit
        for edit in history
        if f"group {name}" in edit.sections
        and current_time_s - edit.accepted_at < PROPAGATION_LIMIT_S
    ]
    if not recent:
        return []
    return [
        f"[group {name}] upstreams: revision {recent[-1].revision} changed this section"
        f" less than {PROPAGATION_LIMIT_S} s ago; try again later"
    ]
