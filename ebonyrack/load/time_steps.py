"""Time series in steps of equal length, and their recovery after a fault."""

from __future__ import annotations

STEP_S = 0.05
# Rates are averaged over this many steps, since a single step is too noisy.
PEAK_STEPS = 5
LEVEL_STEPS = 10
# The effects of a fault start within the first 2 s; later peaks are noise.
EFFECT_STEPS = 40
# Length of the part of a series before the fault.
BEFORE_S = 3.0


def count_in_steps(times_s: list[float], start_s: float, end_s: float) -> list[float]:
    """Count the events in each step.

    Args:
        times_s: Monotonic times of the events, in any order.
        start_s: Monotonic time at which the first step begins.
        end_s: Monotonic time at which the last step ends.
    """
    counts = [0.0] * round((end_s - start_s) / STEP_S)
    for at_s in times_s:
        step = int((at_s - start_s) // STEP_S)
        if 0 <= step < len(counts):
            counts[step] += 1
    return counts


def find_step_maxima(
    samples: list[tuple[float, float]], start_s: float, end_s: float
) -> list[float]:
    """Return the maximum of each step; one without a sample repeats the step before.

    Args:
        samples: Monotonic times and values, in order.
        start_s: Monotonic time at which the first step begins.
        end_s: Monotonic time at which the last step ends.
    """
    highest: dict[int, float] = {}
    for at_s, value in samples:
        step = int((at_s - start_s) // STEP_S)
        highest[step] = max(value, highest.get(step, 0.0))
    values = []
    value = 0.0
    for step in range(round((end_s - start_s) / STEP_S)):
        value = highest.get(step, value)
        values.append(value)
    return values


def compute_moving_average(values: list[float], count: int) -> list[float]:
    """Return the mean of each window of that many consecutive values."""
    return [
        sum(values[start : start + count]) / count
        for start in range(len(values) - count + 1)
    ]


def find_peak_rate(counts: list[float]) -> float:
    """Return the highest rate per second, averaged over 0.25 s."""
    return round(max(compute_moving_average(counts, PEAK_STEPS)) / STEP_S, 1)


def find_rise_recovery_s(before: list[float], after: list[float]) -> float | None:
    """Find when a value that rises after a fault returns to its earlier level.

    Args:
        before: The value in each step before the fault.
        after: The value in each step from the fault on.

    Returns:
        Seconds from the fault until the mean over half a second is no higher than the
        highest such mean before the fault, searched from the peak in the first 2 s
        on; 0 if that peak is not higher, None if the mean stays higher.
    """
    level = max(compute_moving_average(before, LEVEL_STEPS))
    means = compute_moving_average(after, LEVEL_STEPS)
    highest = max(means[:EFFECT_STEPS])
    if highest <= level:
        return 0.0
    peak = means.index(highest)
    for step in range(peak, len(means)):
        if means[step] <= level:
            return round(step * STEP_S, 2)
    return None


def find_drop_recovery_s(before: list[float], after: list[float]) -> float | None:
    """Find when a value that drops after a fault returns to its earlier level.

    Args:
        before: The value in each step before the fault.
        after: The value in each step from the fault on.

    Returns:
        As `find_rise_recovery_s`, with the lowest means in place of the highest.
    """
    return find_rise_recovery_s(
        [-value for value in before], [-value for value in after]
    )
