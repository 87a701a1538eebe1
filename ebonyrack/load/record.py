"""Record of the replies that callers received, for the check after a workload."""

from __future__ import annotations

import itertools
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from ebonyrack.core.clock import now_s
from ebonyrack.load.attempt import Failure

MAX_EXAMPLES = 20
# Gaps that start later than this after a fault are not attributed to it.
GAP_WINDOW_S = 20.0


@dataclass(slots=True)
class WorkloadRecord:
    """Replies that all callers received.

    Attributes:
        acknowledged: Slots of the acknowledged reservations, by request key.
        refused: Request keys of the finally refused reservations.
        unfinished: Request keys without a final reply at the deadline.
        acknowledged_at_s: Monotonic times of the acknowledgements, in order.
        write_latencies_s: Time from the first attempt to the acknowledgement, for
            each acknowledged reservation.
        read_latencies_s: Time from the first attempt to the reply, for each read.
        reads: Number of successful reads.
        stale_reads: Number of reads that missed an acknowledged reservation.
        untrue_refusals: Number of requests reported as not run that had run.
        attempts: Number of attempts to reserve, by outcome.
        served_by_role: Number of sampled reads, by the role of the upstream that
            served them.
        failures: Number of failed attempts, by SQLSTATE; those of reads separately.
        examples: Descriptions of the first stale reads and untrue refusals.
        slot_numbers: Generator of slot numbers.
        attempted_at_s: Monotonic times at which reservations were sent, including
            retries.
        failed_attempts: Monotonic time and kind of each failed attempt to reserve.
    """

    acknowledged: dict[str, int] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    unfinished: set[str] = field(default_factory=set)
    acknowledged_at_s: list[float] = field(default_factory=list)
    write_latencies_s: list[float] = field(default_factory=list)
    read_latencies_s: list[float] = field(default_factory=list)
    reads: int = 0
    stale_reads: int = 0
    untrue_refusals: int = 0
    attempts: Counter[str] = field(default_factory=Counter)
    served_by_role: Counter[str] = field(default_factory=Counter)
    failures: Counter[str] = field(default_factory=Counter)
    examples: list[str] = field(default_factory=list)
    slot_numbers: itertools.count[int] = field(
        default_factory=lambda: itertools.count(1)
    )
    attempted_at_s: list[float] = field(default_factory=list)
    failed_attempts: list[tuple[float, str]] = field(default_factory=list)

    def record_failure(self, failure: Failure) -> None:
        """Record a failed attempt to reserve."""
        self.attempts[str(failure.outcome)] += 1
        self.failures[failure.sqlstate or "connection"] += 1
        kind = failure.kind or failure.sqlstate or "connection"
        self.failed_attempts.append((now_s(), kind))

    def add_example(self, text: str) -> None:
        """Add the description of a violation, up to `MAX_EXAMPLES`."""
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(text)

    def compute_replica_share(self) -> float | None:
        """Return the share of sampled reads that replicas served, or None."""
        total = self.served_by_role["primary"] + self.served_by_role["replica"]
        return self.served_by_role["replica"] / total if total else None

    def find_longest_gap_s(
        self, fault_at_s: float | None = None, window_s: float = GAP_WINDOW_S
    ) -> float:
        """Return the longest time between two acknowledgements, in seconds.

        Args:
            fault_at_s: Monotonic time of a fault; only gaps that end after it and
                start before the end of the window count. None for all gaps.
            window_s: How long after the fault a gap may start, in seconds.
        """
        longest_s = 0.0
        for before_s, after_s in itertools.pairwise(self.acknowledged_at_s):
            if fault_at_s is not None:
                if after_s < fault_at_s or before_s > fault_at_s + window_s:
                    continue
            longest_s = max(longest_s, after_s - before_s)
        return longest_s


def find_quantile(values: list[float], share: float) -> float | None:
    """Return the value below which a share of the values lies.

    Args:
        values: The values, in any order.
        share: Share from 0 to 1.

    Returns:
        The quantile, or None without values.
    """
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
