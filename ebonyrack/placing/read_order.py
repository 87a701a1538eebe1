"""In which order the upstreams of a group are tried for a read.

Load answered: readers in every data centre beside one primary, with replicas that
fall behind by turns. Bytes between data centres cost far more than some
milliseconds, so a near upstream serves until its queue would cost the caller's
target; then the next one is taken, the primary last of equals as only it can write.
"""

from __future__ import annotations

from dataclasses import dataclass

# What another data centre must be faster by before a read goes there, in seconds;
# below the targets of routes, which are 150 ms and more.
REMOTE_COST_S = 0.12
# What a read at the primary costs those who need it, in seconds.
PRIMARY_COST_S = 0.01
# Sorts behind all that serve: one that turned work away or lacks the position.
DEPRIORITIZED_COST_S = 1.0


@dataclass(frozen=True, slots=True)
class ReadCandidate:
    """An upstream that could serve a read.

    Attributes:
        member_id: Identity.
        is_near: Whether it is in the proxy's own data centre.
        is_primary: Whether it is the primary.
        is_reachable: Whether it may be expected to answer.
        is_deprioritized: Whether it turned work away or lacked the position just now.
        is_shed: Whether the read gives way to others there, as it is crowded.
        latency_s: Its usual reply time, in seconds.
        expected_wait_s: How long it would wait for a connection, in seconds.
    """

    member_id: str
    is_near: bool
    is_primary: bool
    is_reachable: bool
    is_deprioritized: bool
    is_shed: bool
    latency_s: float
    expected_wait_s: float


def estimate_cost(candidate: ReadCandidate) -> float:
    """Return what a read there costs, in seconds."""
    cost_s = candidate.latency_s + candidate.expected_wait_s
    if not candidate.is_near:
        cost_s += REMOTE_COST_S
    if candidate.is_primary:
        cost_s += PRIMARY_COST_S
    if candidate.is_deprioritized:
        cost_s += DEPRIORITIZED_COST_S
    return cost_s


def order_candidates(candidates: list[ReadCandidate]) -> list[str]:
    """Return the identities in the order in which they are tried.

    One that can't be reached is left out, also if it is the only one: a read that waits
    for its answer would have had time to be served by another proxy. So is one that is
    crowded, for reads that give way.
    """
    usable = [each for each in candidates if each.is_reachable and not each.is_shed]
    ordered = sorted(usable, key=lambda each: (estimate_cost(each), each.member_id))
    return [candidate.member_id for candidate in ordered]
