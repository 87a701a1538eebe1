"""Decides which reads are shed while the only upstream for them is overloaded.

After the crash of a primary, or while replicas are far behind, 29 proxies may send all
reads of a group to one upstream. Each statement then queues behind two dozen others,
so reads with the strictest latency targets are late first, whatever their priority.
Instead, reads of the lowest priority, and among equals those with the longest targets,
are rejected at once: as many as it takes to keep the others within their targets.
"""

from __future__ import annotations

import math

from msgspec import Struct

# Expected answer time at which shedding starts, as a share of the strictest target; the
# rest of it covers the network and the error of the estimate.
SHEDDING_START_SHARE = 0.4
# Further share of the target over which the shed share of one class rises from 0 to 1.
CLASS_STEP_SHARE = 0.3
# Time constant in seconds with which counted reads decay, and the share of the demand
# below which a class is ignored.
DEMAND_DECAY_S = 5.0
MINIMUM_DEMAND_SHARE = 0.05


class WorkClass(Struct, frozen=True, order=True):
    """Reads of the same importance, which are shed together.

    Attributes:
        priority: 0 is served first.
        target_s: Latency target, in seconds.
    """

    priority: int
    target_s: float


class ReadDemand:
    """Counts the recent reads of a group by class.

    Attributes:
        counts: Exponentially decaying count of reads by class.
        decayed_at_s: Time up to which the counts have decayed.
    """

    __slots__ = ("counts", "decayed_at_s")

    def __init__(self) -> None:
        self.counts: dict[WorkClass, float] = {}
        self.decayed_at_s = 0.0

    def record(self, work_class: WorkClass, now: float) -> None:
        """Count a read of a class."""
        decay = math.exp(min(0.0, self.decayed_at_s - now) / DEMAND_DECAY_S)
        self.decayed_at_s = now
        self.counts = {each: count * decay for each, count in self.counts.items()}
        self.counts[work_class] = self.counts.get(work_class, 0.0) + 1.0

    def list_active(self) -> list[WorkClass]:
        """Return the classes in use, the most important one first."""
        minimum_count = MINIMUM_DEMAND_SHARE * sum(self.counts.values())
        return sorted(
            each for each, count in self.counts.items() if count >= minimum_count
        )


def compute_shed_share(
    work_class: WorkClass, active: list[WorkClass], answer_s: float
) -> float:
    """Return the share of a class's reads that is shed, 0 to 1.

    Args:
        work_class: The class.
        active: The classes in use, the most important one first.
        answer_s: Expected wait for a connection and the reply, in seconds.
    """
    if work_class not in active[1:]:
        return 0.0
    later_classes = len(active) - 1 - active.index(work_class)
    strictest_s = min(each.target_s for each in active)
    start_share = SHEDDING_START_SHARE + CLASS_STEP_SHARE * later_classes
    return min(1.0, max(0.0, (answer_s / strictest_s - start_share) / CLASS_STEP_SHARE))
