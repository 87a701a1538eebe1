"""Orders the upstreams of a group for a read.

Every data centre has readers, there is one primary, and replicas fall behind one after
another. Traffic between data centres costs far more than a few milliseconds, so an
upstream in the same data centre serves until its queue would use up the caller's
latency target; then the next one is tried. The primary comes last among equals, as only
it can write.
"""

from __future__ import annotations

from msgspec import Struct

# Latency advantage in seconds that another data centre needs to be preferred; below
# the targets of routes, which are 150 ms and more.
REMOTE_COST_S = 0.12
# Penalty in seconds for a read at the primary, which delays requests that need it.
PRIMARY_COST_S = 0.01
# Penalty in seconds that orders an upstream that rejected work or lacks the position
# behind all others.
DEPRIORITIZED_COST_S = 1.0


class ReadCandidate(Struct, frozen=True):
    """An upstream that could serve a read.

    Attributes:
        member_id: Identity.
        is_near: Whether it is in the proxy's data centre.
        is_primary: Whether it is the primary.
        is_reachable: Whether a reply can be expected from it.
        is_deprioritized: Whether it rejected work or lacked the position just now.
        is_shed: Whether the read is shed there because the upstream is overloaded.
        latency_s: Its expected reply time, in seconds.
        expected_wait_s: Expected wait for a connection to it, in seconds.
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
    """Return the cost of a read at an upstream, in seconds."""
    cost_s = candidate.latency_s + candidate.expected_wait_s
    if not candidate.is_near:
        cost_s += REMOTE_COST_S
    if candidate.is_primary:
        cost_s += PRIMARY_COST_S
    if candidate.is_deprioritized:
        cost_s += DEPRIORITIZED_COST_S
    return cost_s


def order_candidates(candidates: list[ReadCandidate]) -> list[str]:
    """Return upstream identities in the order in which they are tried.

    An unreachable upstream is left out even if it is the only one: in the time for
    which a read would wait for its reply, the caller can be served by another proxy.
    An overloaded upstream is left out if the read is shed there.
    """
    usable = [each for each in candidates if each.is_reachable and not each.is_shed]
    ordered = sorted(usable, key=lambda each: (estimate_cost(each), each.member_id))
    return [candidate.member_id for candidate in ordered]
