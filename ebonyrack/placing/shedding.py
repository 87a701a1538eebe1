"""Which reads give way while the only upstream that could serve them is crowded.

Load answered: a primary has crashed, or replicas are far behind, and 29 proxies send
all reads of a group to one upstream. Each statement waits there behind two dozen
others, so that those with the strictest targets are late first, however high their
priority is. The reads that matter least, and of equals those whose callers can wait
longest, are refused at once instead, as many as keep the rest within its targets.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Expected time to an answer at which the first reads give way, as a share of the
# strictest target; what is left covers the way and what the estimate misses.
SHEDDING_START_SHARE = 0.4
# Between there and this much more, all reads of one class have given way.
CLASS_STEP_SHARE = 0.3
# Reads count for the demand as long as this, in seconds, weighted by their age; and
# classes that have less than this share of it don't count.
DEMAND_DECAY_S = 5.0
MINIMUM_DEMAND_SHARE = 0.05


@dataclass(frozen=True, slots=True, order=True)
class WorkClass:
    """Reads that give way together.

    Attributes:
        priority: 0 is served first.
        target_s: Time in which they should be answered, in seconds.
    """

    priority: int
    target_s: float


class ReadDemand:
    """How often the classes of reads ask for a group.

    Attributes:
        counts: Reads of each class, which fade exponentially.
        decayed_at_s: Time up to which they have faded.
    """

    __slots__ = ("counts", "decayed_at_s")

    def __init__(self) -> None:
        self.counts: dict[WorkClass, float] = {}
        self.decayed_at_s = 0.0

    def record(self, work_class: WorkClass, now: float) -> None:
        """Count a read of a class."""
        faded = math.exp(min(0.0, self.decayed_at_s - now) / DEMAND_DECAY_S)
        self.decayed_at_s = now
        self.counts = {each: count * faded for each, count in self.counts.items()}
        self.counts[work_class] = self.counts.get(work_class, 0.0) + 1.0

    def list_active(self) -> list[WorkClass]:
        """Return the classes that are in use, the most important one first."""
        least = MINIMUM_DEMAND_SHARE * sum(self.counts.values())
        return sorted(each for each, count in self.counts.items() if count >= least)


def compute_shed_share(
    work_class: WorkClass, active: list[WorkClass], answer_s: float
) -> float:
    """Return the share of a class's reads that give way, 0 to 1.

    Args:
        work_class: The class.
        active: The classes in use, the most important one first.
        answer_s: How long a read waits for a connection and then for the reply, as
            expected now, in seconds.
    """
    if work_class not in active[1:]:
        return 0.0
    later_classes = len(active) - 1 - active.index(work_class)
    strictest_s = min(each.target_s for each in active)
    first = SHEDDING_START_SHARE + CLASS_STEP_SHARE * later_classes
    return min(1.0, max(0.0, (answer_s / strictest_s - first) / CLASS_STEP_SHARE))
