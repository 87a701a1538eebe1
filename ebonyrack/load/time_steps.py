"""Series of figures in equal steps of time, and when they are back at a level."""

from __future__ import annotations

STEP_S = 0.05
# Steps over which a rate is taken, so that chance in a single step doesn't count.
PEAK_STEPS = 5
LEVEL_STEPS = 10
# What a fault does shows within these first 2 s; later peaks are chance.
EFFECT_STEPS = 40
# How much of the time before a fault is kept.
BEFORE_S = 3.0


def count_in_steps(times_s: list[float], first_s: float, last_s: float) -> list[float]:
    """Count moments in each step.

    Args:
        times_s: Monotonic times, in any order.
        first_s: Monotonic time at which the first step begins.
        last_s: Monotonic time at which the last step ends.
    """
    counts = [0.0] * round((last_s - first_s) / STEP_S)
    for at_s in times_s:
        step = int((at_s - first_s) // STEP_S)
        if 0 <= step < len(counts):
            counts[step] += 1
    return counts


def read_in_steps(
    points: list[tuple[float, float]], first_s: float, last_s: float
) -> list[float]:
    """Return the highest value seen in each step, else that of the step before.

    Args:
        points: Monotonic time and value, in order.
        first_s: Monotonic time at which the first step begins.
        last_s: Monotonic time at which the last step ends.
    """
    highest: dict[int, float] = {}
    for at_s, value in points:
        step = int((at_s - first_s) // STEP_S)
        highest[step] = max(value, highest.get(step, 0.0))
    values = []
    value = 0.0
    for step in range(round((last_s - first_s) / STEP_S)):
        value = highest.get(step, value)
        values.append(value)
    return values


def average(values: list[float], count: int) -> list[float]:
    """Return the mean of each run of that many values that follow one another."""
    return [
        sum(values[start : start + count]) / count
        for start in range(len(values) - count + 1)
    ]


def find_peak_rate(counts: list[float]) -> float:
    """Return the highest rate over 0.25 s, in a second."""
    return round(max(average(counts, PEAK_STEPS)) / STEP_S, 1)


def find_back_s(before: list[float], after: list[float]) -> float | None:
    """Find when a value that rises after a fault is back at its level.

    Args:
        before: The value in each step before the fault.
        after: The value in each step from the fault on.

    Returns:
        Seconds from the fault until the mean of half a second is no higher than the
        highest such mean before, counted from its peak in the first 2 s on; 0 if it
        is not higher then, None if it stays higher.
    """
    level = max(average(before, LEVEL_STEPS))
    means = average(after, LEVEL_STEPS)
    highest = max(means[:EFFECT_STEPS])
    if highest <= level:
        return 0.0
    peak = means.index(highest)
    for step in range(peak, len(means)):
        if means[step] <= level:
            return round(step * STEP_S, 2)
    return None


def find_recovered_s(before: list[float], after: list[float]) -> float | None:
    """Find when a value that falls after a fault is back at its level.

    Args:
        before: The value in each step before the fault.
        after: The value in each step from the fault on.

    Returns:
        As `find_back_s`, for the lowest mean before and from the lowest one on.
    """
    return find_back_s([-value for value in before], [-value for value in after])
