"""The upstreams of a group that may serve a read, as they are known now."""

from __future__ import annotations

from dataclasses import dataclass

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LogPosition
from ebonyrack.members.group import Group
from ebonyrack.members.member import Member
from ebonyrack.placing.read_order import ReadCandidate
from ebonyrack.placing.read_order import order_candidates
from ebonyrack.placing.shedding import WorkClass
from ebonyrack.placing.shedding import compute_shed_share

# A read prefers others to an upstream that was silent this long, in seconds; usual
# statements take a tenth of it.
READ_SILENCE_LIMIT_S = 0.25


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A read or a transaction that reads, on its way to an upstream.

    Attributes:
        position: Position that it must see; None if only the primary will do.
        caller: Name under which it waits in queues.
        work_class: Reads with which it gives way.
        shedding_draw: Random number from 0 to 1 by which a share of a class is chosen.
    """

    position: LogPosition | None
    caller: str
    work_class: WorkClass
    shedding_draw: float


def order_upstreams(group: Group, read: PlacementRequest, tried: set[str]) -> list[str]:
    """Return the upstreams that may serve a read, the best first.

    Args:
        group: The group.
        read: The read.
        tried: Upstreams that were tried for it already.

    Raises:
        RequestError: WAIT_TOO_LONG if it gives way at all that are left.
    """
    now = boot_time_s()
    group.demand.record(read.work_class, now)
    candidates = [
        build_candidate(group, member, read, now)
        for member in group.members.values()
        if member.member_id not in tried and accepts_new_work(member)
    ]
    ordered = order_candidates(candidates)
    if not ordered:
        for candidate in candidates:
            if candidate.is_reachable:
                raise build_overload_error(
                    group.members[candidate.member_id], read.caller
                )
    return ordered


def check_shedding(group: Group, read: PlacementRequest, primary: Member) -> None:
    """Let a read that needs the primary give way while that is crowded.

    Raises:
        RequestError: WAIT_TOO_LONG if it gives way.
    """
    group.demand.record(read.work_class, boot_time_s())
    if is_shed(group, primary, read):
        raise build_overload_error(primary, read.caller)


def is_shed(group: Group, member: Member, read: PlacementRequest) -> bool:
    """Return whether a read gives way to others at an upstream."""
    active = group.demand.list_active()
    return read.shedding_draw < compute_shed_share(
        read.work_class, active, estimate_answer_time(member, read.caller)
    )


def estimate_answer_time(member: Member, caller: str) -> float:
    """Return how long a read takes at an upstream now, in seconds."""
    return member.pool.estimate_wait(caller) + member.expected_reply_s


def build_overload_error(member: Member, caller: str) -> RequestError:
    """Build the refusal of a read that gives way, with a time to come back."""
    answer_s = estimate_answer_time(member, caller)
    return member.pool.build_refusal(
        ErrorKind.WAIT_TOO_LONG, f"crowded, an answer takes {answer_s:.3f} s"
    )


def build_candidate(
    group: Group, member: Member, read: PlacementRequest, now: float
) -> ReadCandidate:
    """Return what placing a read needs to know of an upstream."""
    position = read.position
    lacks = (
        position is not None
        and member.missing_position is not None
        and member.missing_position <= position
        and now < member.lagging_until_s
        and (member.position is None or member.position < position)
    )
    is_silent = member.liveness.measure_silence() > READ_SILENCE_LIMIT_S
    return ReadCandidate(
        member_id=member.member_id,
        is_near=member.entry.data_centre == group.data_centre,
        is_primary=member is group.primary,
        is_reachable=member.is_reachable,
        is_deprioritized=lacks or is_silent or now < member.deprioritized_until_s,
        is_shed=is_shed(group, member, read),
        latency_s=member.expected_reply_s,
        expected_wait_s=member.pool.estimate_wait(read.caller),
    )


def accepts_new_work(member: Member) -> bool:
    """Return whether an upstream wants new work, as far as is known.

    One whose entry is missing is used until it counts as gone: all entries lapse at
    once in an outage of the store.
    """
    return not member.entry.is_leaving
