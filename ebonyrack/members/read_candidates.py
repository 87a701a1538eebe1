"""The upstreams of a group that may serve a read, as they are known now."""

from __future__ import annotations

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.position import LogPosition
from ebonyrack.members.group import Group
from ebonyrack.members.member import Member
from ebonyrack.placing.read_order import ReadCandidate
from ebonyrack.placing.read_order import order_candidates

# A read prefers others to an upstream that was silent this long, in seconds; usual
# statements take a tenth of it.
SILENT_READ_S = 0.25


def order_reads(
    group: Group, position: LogPosition | None, tried: set[str], caller: str
) -> list[str]:
    """Return the upstreams that may serve a read, the best first.

    Args:
        group: The group.
        position: Position that it must see.
        caller: Name under which it waits in queues.
        tried: Upstreams that were tried for it already.
    """
    now = boot_time_s()
    candidates = [
        build_candidate(group, member, position, caller, now)
        for member in group.members.values()
        if member.member_id not in tried and takes_new_work(member)
    ]
    return order_candidates(candidates)


def build_candidate(
    group: Group, member: Member, position: LogPosition | None, caller: str, now: float
) -> ReadCandidate:
    """Return what placing a read needs to know of an upstream."""
    lacks = (
        position is not None
        and member.lacked is not None
        and member.lacked <= position
        and now < member.lacked_until_s
        and (member.position is None or member.position < position)
    )
    is_silent = member.liveness.measure_silence() > SILENT_READ_S
    return ReadCandidate(
        member_id=member.member_id,
        is_near=member.entry.data_centre == group.data_centre,
        leads=member is group.leader,
        is_reachable=member.is_reachable,
        is_avoided=lacks or is_silent or now < member.avoided_until_s,
        latency_s=member.reply_time.mean_s,
        expected_wait_s=member.pool.expect_wait(caller),
    )


def takes_new_work(member: Member) -> bool:
    """Return whether an upstream wants new work, as far as is known.

    One whose entry is missing is used until it counts as gone: all entries lapse at
    once in an outage of the store.
    """
    return not member.entry.is_leaving
