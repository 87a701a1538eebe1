"""What the callers of a workload were told, for the check at its end."""

from __future__ import annotations

import itertools
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from ebonyrack.core.clock import now_s
from ebonyrack.load.attempt import Failure

KEPT_EXAMPLES = 20
# Gaps that start later after a fault are not put down to it.
GAP_WINDOW_S = 20.0


@dataclass(slots=True)
class WorkloadRecord:
    """Everything that callers were told.

    Attributes:
        acknowledged: Slot by request key, of each reservation told as made.
        refused: Keys told as not made, for good.
        unfinished: Keys without a final answer when the time was over.
        acknowledged_s: Monotonic times of acknowledgements, in order.
        write_latencies_s: Time from the first attempt to the acknowledgement.
        read_latencies_s: Time of each read that was answered.
        reads: Reads answered.
        stale_reads: Reads that missed a reservation already acknowledged.
        untrue_refusals: Requests told as not run that turned out to have run.
        attempts: Attempts sent, by what came of them.
        served: Sampled reads by the role of the upstream that served.
        failures: Failed attempts by SQLSTATE.
        examples: First few stale reads and untrue refusals, described.
        slots: Source of slot numbers.
        attempted_s: Monotonic times at which reservations were sent, repeats too.
        refused_s: Monotonic time and kind of each failed attempt to reserve.
    """

    acknowledged: dict[str, int] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    unfinished: set[str] = field(default_factory=set)
    acknowledged_s: list[float] = field(default_factory=list)
    write_latencies_s: list[float] = field(default_factory=list)
    read_latencies_s: list[float] = field(default_factory=list)
    reads: int = 0
    stale_reads: int = 0
    untrue_refusals: int = 0
    attempts: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    failures: Counter[str] = field(default_factory=Counter)
    examples: list[str] = field(default_factory=list)
    slots: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    attempted_s: list[float] = field(default_factory=list)
    refused_s: list[tuple[float, str]] = field(default_factory=list)

    def note_failure(self, failure: Failure) -> None:
        """Count a failed attempt."""
        self.attempts[str(failure.verdict)] += 1
        self.failures[failure.sqlstate or "connection"] += 1
        kind = failure.kind or failure.sqlstate or "connection"
        self.refused_s.append((now_s(), kind))

    def note_example(self, text: str) -> None:
        """Keep the description of a fault, if there is room."""
        if len(self.examples) < KEPT_EXAMPLES:
            self.examples.append(text)

    def replica_share(self) -> float | None:
        """Return the share of sampled reads that a replica served."""
        total = self.served["primary"] + self.served["replica"]
        return self.served["replica"] / total if total else None

    def find_gap_s(
        self, around_s: float | None = None, within_s: float = GAP_WINDOW_S
    ) -> float:
        """Return the longest time between two acknowledgements.

        Args:
            around_s: Monotonic time of a fault; only gaps that end after it and
                start within the next seconds count. None for all gaps.
            within_s: How long after the fault gaps may start, in seconds.
        """
        longest_s = 0.0
        for before_s, after_s in itertools.pairwise(self.acknowledged_s):
            if around_s is not None:
                if after_s < around_s or before_s > around_s + within_s:
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
