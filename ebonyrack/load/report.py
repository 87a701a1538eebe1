"""Draws the plots of result files."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from ebonyrack.core.registry import Registry
from ebonyrack.load.results import Row
from ebonyrack.load.results import read_results
from ebonyrack.load.time_steps import BEFORE_S
from ebonyrack.load.time_steps import PEAK_STEPS
from ebonyrack.load.time_steps import STEP_S
from ebonyrack.load.time_steps import compute_moving_average

WIDTH_INCHES = 8.0
HEIGHT_INCHES = 4.5
DOTS_PER_INCH = 110
MEDIAN_TARGET_S = 0.5
P99_TARGET_S = 1.0
SHARE_TARGET = 0.95
PANEL_INCHES = (2.4, 2.6)

Plot = Callable[[Any, list[Row]], None]
PLOTS: Registry[Plot] = Registry("plot")


def draw_report(results: Path, plots: Path) -> list[Path]:
    """Draw the plot of each result file for which one is registered.

    Args:
        results: Directory of the result files.
        plots: Directory of the image files.

    Returns:
        Paths of the image files.
    """
    # matplotlib is large and only this command needs it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    plots.mkdir(parents=True, exist_ok=True)
    drawn = []
    for name, plot in PLOTS.entries.items():
        source = results / f"{name}.jsonl"
        if not source.exists():
            continue
        _, rows = read_results(source)
        figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
        plot(axes, rows)
        figure.tight_layout()
        target = plots / f"{name}.png"
        figure.savefig(target, dpi=DOTS_PER_INCH)
        pyplot.close(figure)
        drawn.append(target)
    return drawn


def find_distinct(rows: list[Row], *names: str) -> list[tuple[Any, ...]]:
    """Return the distinct values of some fields, in order of appearance."""
    return list(dict.fromkeys(tuple(row[name] for name in names) for row in rows))


def compute_point_positions(column: int, count: int) -> list[float]:
    """Return x positions that spread points side by side within a column."""
    return [column + (index / count - 0.5) * 0.5 for index in range(count)]


def compute_bar_positions(number: int, width: float, count: int) -> list[float]:
    """Return the x positions of one series of bars, one bar for each cluster."""
    return [index + (number + 0.5) * width - 0.4 for index in range(count)]


@PLOTS.register("failover_gap")
def plot_failover_gap(axes: Any, rows: list[Row]) -> None:
    """Plot the gap of each trial, one column for each condition."""
    conditions = find_distinct(rows, "policy", "fault", "store_up")
    labels = []
    for column, (policy, fault, store_up) in enumerate(conditions):
        gaps = [
            row["gap_s"]
            for row in rows
            if (row["policy"], row["fault"], row["store_up"])
            == (policy, fault, store_up)
        ]
        axes.scatter(compute_point_positions(column, len(gaps)), gaps, s=12)
        labels.append(f"{policy}, {fault}, store {'up' if store_up else 'down'}")
    axes.axhline(MEDIAN_TARGET_S, linestyle="--", color="grey", linewidth=1)
    axes.axhline(P99_TARGET_S, linestyle=":", color="grey", linewidth=1)
    axes.set_xticks(range(len(labels)), labels, fontsize=7, rotation=40, ha="right")
    axes.set_yscale("log")
    axes.set_ylabel("failover gap (s)")
    axes.set_title(
        "Gap between acknowledged writes, each trial; lines at 0.5 s and 1 s"
    )


@PLOTS.register("replica_share")
def plot_replica_share(axes: Any, rows: list[Row]) -> None:
    """Plot the share of reads on replicas for each policy and mix of callers."""
    series = find_distinct(rows, "policy", "crowd")
    conditions = find_distinct(rows, "site", "lag_ms")
    width = 0.8 / len(series)
    for number, (policy, mix) in enumerate(series):
        shares = []
        for site, lag_ms in conditions:
            matching = [
                row["replica_read_share"] or 0.0
                for row in rows
                if (row["site"], row["lag_ms"]) == (site, lag_ms)
                and (row["policy"], row["crowd"]) == (policy, mix)
            ]
            shares.append(matching[0] if matching else 0.0)
        positions = compute_bar_positions(number, width, len(conditions))
        axes.bar(positions, shares, width, label=f"{policy}: {mix}")
    axes.axhline(SHARE_TARGET, linestyle="--", color="grey", linewidth=1)
    axes.set_xticks(
        range(len(conditions)),
        [f"{site}\n{lag_ms} ms lag" for site, lag_ms in conditions],
    )
    axes.set_ylabel("share of reads on replicas")
    axes.set_ylim(0, 1.05)
    axes.legend(fontsize=6, ncols=3, loc="upper center", bbox_to_anchor=(0.5, -0.14))
    axes.set_title("Share of reads served by replicas; line at 95%")


@PLOTS.register("acknowledge_cost")
def plot_acknowledge_cost(axes: Any, rows: list[Row]) -> None:
    """Plot the median latency of a write under each policy."""
    policies = [policy for (policy,) in find_distinct(rows, "policy")]
    conditions = find_distinct(rows, "keyed", "callers")
    width = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        medians = [
            row["median_ms"]
            for keyed, callers in conditions
            for row in rows
            if (row["keyed"], row["callers"]) == (keyed, callers)
            and row["policy"] == policy
        ]
        positions = compute_bar_positions(number, width, len(conditions))
        axes.bar(positions, medians, width, label=policy)
    labels = [
        f"{'with' if keyed else 'no'} key\n{callers} caller(s)"
        for keyed, callers in conditions
    ]
    axes.set_xticks(range(len(conditions)), labels)
    axes.set_ylabel("median write (ms)")
    axes.legend()
    axes.set_title("Latency of a write by acknowledgement policy")


@PLOTS.register("goodput")
def plot_goodput(axes: Any, rows: list[Row]) -> None:
    """Plot the goodput against the load."""
    for (queue,) in find_distinct(rows, "queue"):
        chosen = [row for row in rows if row["queue"] == queue]
        axes.plot(
            [row["load"] for row in chosen],
            [row["goodput_per_s"] for row in chosen],
            marker="o",
            label=f"{queue} queue",
        )
    axes.set_xlabel("offered load, as a multiple of the group's capacity")
    axes.set_ylabel("operations completed per second")
    axes.set_ylim(bottom=0)
    axes.legend()
    axes.set_title("Goodput with callers that retry without limit")


@PLOTS.register("failover_queue")
def plot_failover_queue(axes: Any, rows: list[Row]) -> None:
    """Plot attempts, goodput and queue during each failover, one column each."""
    figure = axes.figure
    axes.remove()
    width, height = PANEL_INCHES
    figure.set_size_inches(width * max(2, len(rows)), height * 2)
    panels = figure.subplots(2, len(rows), sharex=True, sharey="row", squeeze=False)
    for (top, bottom), row in zip(panels.T, rows, strict=True):
        for name in ("attempts", "arrivals", "acknowledged"):
            counts = compute_moving_average(row["series"][name], PEAK_STEPS)
            rates = [count / STEP_S for count in counts]
            top.plot(compute_step_times(rates), rates, linewidth=0.8, label=name)
        for name in ("queue", "executing"):
            values = row["series"][name]
            bottom.plot(compute_step_times(values), values, linewidth=0.8, label=name)
        top.set_title(
            f"{row['policy']}, {row['fault']}\nretry {row['retries']}", fontsize=8
        )
        # On a linear scale, one retry storm would flatten all other curves.
        top.set_yscale("symlog", linthresh=100)
        bottom.set_xlabel("seconds after the fault")
    panels[0][0].set_ylabel("per second, over 0.25 s")
    panels[1][0].set_ylabel("requests, all proxies")
    panels[0][0].legend(fontsize=7)
    panels[1][0].legend(fontsize=7)


def compute_step_times(values: list[float]) -> list[float]:
    """Return the time of each value of a series, in seconds after the fault."""
    return [step * STEP_S - BEFORE_S for step in range(len(values))]
