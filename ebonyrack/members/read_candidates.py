"""Selects the upstreams of a group that may serve a read."""

from __future__ import annotations

from msgspec import Struct

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

# Reads prefer other upstreams to one that has been silent this long, in seconds; usual
# statements take a tenth of it.
READ_SILENCE_LIMIT_S = 0.25


class PlacementRequest(Struct, frozen=True):
    """What placing a read or a read-only transaction depends on.

    Attributes:
        position: Position that it must see; None if it requires the primary.
        caller: Name under which it waits in queues.
        account: Client account whose connections it uses; empty for none.
        work_class: Class with which it is shed.
        shedding_draw: Random number from 0 to 1; the read is shed if it is below the
            shed share of its class.
    """

    position: LogPosition | None
    caller: str
    account: str
    work_class: WorkClass
    shedding_draw: float


def order_upstreams(group: Group, read: PlacementRequest, tried: set[str]) -> list[str]:
    """Return the upstreams that may serve a read, the best first.

    Args:
        group: The group.
        read: The read.
        tried: Upstreams that were tried for it already.

    Raises:
        RequestError: WAIT_TOO_LONG if it is shed at all remaining upstreams.
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
                raise build_overload_error(group.members[candidate.member_id], read)
    return ordered


def check_shedding(group: Group, read: PlacementRequest, primary: Member) -> None:
    """Shed a read that requires the primary while that is overloaded.

    Raises:
        RequestError: WAIT_TOO_LONG if the read is shed.
    """
    group.demand.record(read.work_class, boot_time_s())
    if is_shed(group, primary, read):
        raise build_overload_error(primary, read)


def is_shed(group: Group, member: Member, read: PlacementRequest) -> bool:
    """Return whether a read is shed at an upstream."""
    active = group.demand.list_active()
    return read.shedding_draw < compute_shed_share(
        read.work_class, active, estimate_answer_time(member, read)
    )


def estimate_answer_time(member: Member, read: PlacementRequest) -> float:
    """Return the expected time to an answer at an upstream, in seconds."""
    return member.pool.estimate_wait(read.caller, read.account) + (
        member.expected_reply_s
    )


def build_overload_error(member: Member, read: PlacementRequest) -> RequestError:
    """Build the error for a shed read, with a retry-after."""
    answer_s = estimate_answer_time(member, read)
    return member.pool.build_refusal(
        ErrorKind.WAIT_TOO_LONG,
        f"overloaded, an answer takes {answer_s:.3f} s",
        read.account,
    )


def build_candidate(
    group: Group, member: Member, read: PlacementRequest, now: float
) -> ReadCandidate:
    """Build the candidate for an upstream, as its state is known now."""
    position = read.position
    lacks_position = (
        position is not None
        and member.missing_position is not None
        and member.missing_position <= position
        and now < member.lagging_until_s
        and (member.position is None or member.position < position)
    )
    admission = member.failures.compute_admission(now)
    is_ejected = 1.0 - read.shedding_draw > admission
    is_silent = member.liveness.measure_silence() > READ_SILENCE_LIMIT_S
    return ReadCandidate(
        member_id=member.member_id,
        is_near=member.entry.data_centre == group.data_centre,
        is_primary=member is group.primary,
        is_reachable=member.is_reachable,
        is_deprioritized=lacks_position
        or is_silent
        or is_ejected
        or now < member.deprioritized_until_s,
        is_shed=is_shed(group, member, read),
        latency_s=member.expected_reply_s,
        expected_wait_s=member.pool.estimate_wait(read.caller, read.account),
    )


def accepts_new_work(member: Member) -> bool:
    """Return whether an upstream accepts new work, as far as is known.

    An upstream whose entry is missing is used until it is removed, as all entries may
    expire at once in an outage of the store.
    """
    return not member.entry.is_leaving
