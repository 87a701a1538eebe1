"""Command line of the load and experiment tool."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import TypeAlias

from ebonyrack.load import experiments  # noqa: F401 (registers the experiments)
from ebonyrack.load.context import EXPERIMENTS
from ebonyrack.scripts.arguments import parse_address_argument
from ebonyrack.scripts.arguments import parse_non_negative

DESCRIPTION = "Loads proxies, runs experiments on them and reports the results."

Commands: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(prog="ebonyrack-load", description=DESCRIPTION)
    commands = parser.add_subparsers(dest="command", required=True)
    add_booking(commands)
    add_document(commands)
    add_bench(commands)
    add_idle_cost(commands)
    add_experiment(commands)
    add_report(commands)
    add_control_plane(commands)
    add_soak(commands)
    return parser


def add_soak(commands: Commands) -> None:
    """Add the command that runs proxies under random faults."""
    soak = commands.add_parser(
        "soak", help="run proxy processes under random faults and check guarantees"
    )
    soak.add_argument("--seed", type=int, default=1, help="first seed")
    soak.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds"
    )
    soak.add_argument("--seconds", type=parse_non_negative, default=10.0)
    soak.add_argument("--processes", type=int, default=3, help="proxy processes")
    soak.add_argument("--callers", type=int, default=8)
    soak.add_argument(
        "--unfenced",
        action="store_true",
        help="promotions are not fenced, and the store is restored from copies",
    )
    soak.add_argument(
        "--accounts",
        action="store_true",
        help="callers need the keys of client accounts, which are withdrawn",
    )


def add_booking(commands: Commands) -> None:
    """Add the command that runs the booking workload."""
    booking = commands.add_parser("booking", help="reserve slots and read them back")
    add_targets(booking)
    booking.add_argument("--database", default="booking")
    booking.add_argument("--callers", type=int, default=20)
    booking.add_argument("--duration-s", type=parse_non_negative, default=20.0)
    booking.add_argument("--write-share", type=parse_non_negative, default=0.1)
    booking.add_argument("--think-s", type=parse_non_negative, default=0.0)
    booking.add_argument(
        "--mark", type=Path, help="file with the wall-clock time of an injected fault"
    )


def add_document(commands: Commands) -> None:
    """Add the command that puts a first operators' document into the store."""
    document = commands.add_parser(
        "document", help="put the first operators' document into an empty store"
    )
    document.add_argument("--store", required=True, type=parse_address_argument)
    document.add_argument("--prefix", default="ebonyrack")
    document.add_argument("--file", required=True, type=Path)


def add_bench(commands: Commands) -> None:
    """Add the command that compares a proxy with a direct connection."""
    bench = commands.add_parser(
        "bench", help="compare a proxy with a direct connection"
    )
    bench.add_argument("--proxy", required=True, type=parse_address_argument)
    bench.add_argument("--upstream", required=True, type=parse_address_argument)
    bench.add_argument("--proxy-pid", required=True, type=int)
    bench.add_argument("--callers", type=int, default=32)
    bench.add_argument("--duration-s", type=parse_non_negative, default=5.0)
    bench.add_argument("--idle-callers", type=int, default=2500)
    add_results(bench)


def add_idle_cost(commands: Commands) -> None:
    """Add the command that measures idle proxies."""
    idle = commands.add_parser(
        "idle-cost", help="processor time and memory of idle proxies"
    )
    idle.add_argument("--pids", nargs="+", required=True, type=int)
    idle.add_argument("--groups", required=True, type=int)
    idle.add_argument("--duration-s", type=parse_non_negative, default=15.0)
    add_results(idle)


def add_experiment(commands: Commands) -> None:
    """Add the command that runs an experiment on a running cluster."""
    experiment = commands.add_parser("experiment", help="run one experiment")
    experiment.add_argument("name", choices=sorted(EXPERIMENTS.entries))
    add_targets(experiment)
    for name in ("store", "control"):
        experiment.add_argument(
            f"--{name}", required=True, type=parse_address_argument, metavar="IP:PORT"
        )
    experiment.add_argument("--proxy-logs", nargs="*", type=Path, default=[])
    experiment.add_argument(
        "--peers", nargs="*", type=parse_address_argument, default=[], metavar="IP:PORT"
    )
    experiment.add_argument("--peer-secret", default="")
    experiment.add_argument("--document", required=True, type=Path)
    experiment.add_argument("--trials", type=int, default=20)
    experiment.add_argument("--duration-s", type=parse_non_negative, default=15.0)
    experiment.add_argument("--policies", nargs="*", default=[])
    experiment.add_argument("--faults", nargs="*", default=[])
    add_results(experiment)


def add_control_plane(commands: Commands) -> None:
    """Add the commands that host control planes and that measure them."""
    host = commands.add_parser("control-host", help="host control planes of proxies")
    host.add_argument("--first", type=int, required=True)
    host.add_argument("--count", type=int, default=1)
    host.add_argument("--data-centres", type=int, default=4)
    measure = commands.add_parser("control-plane", help="measure hosted control planes")
    measure.add_argument("--nodes", type=int, required=True)
    measure.add_argument("--groups", type=int, default=3)
    measure.add_argument("--edits", type=int, default=100)
    measure.add_argument("--idle-s", type=parse_non_negative, default=15.0)
    measure.add_argument("--logs", nargs="+", type=Path, required=True)
    measure.add_argument("--victim", type=Path, required=True)
    add_results(measure)
    for parser in (host, measure):
        parser.add_argument("--network", required=True, metavar="IP")
        parser.add_argument(
            "--store", required=True, type=parse_address_argument, metavar="IP:PORT"
        )


def add_report(commands: Commands) -> None:
    """Add the command that draws the plots of the results."""
    report = commands.add_parser("report", help="draw the plots of the results")
    add_results(report)
    report.add_argument("--plots", type=Path, default=Path("docs/plots"))


def add_targets(parser: argparse.ArgumentParser) -> None:
    """Add the options for the targets and the user of a workload."""
    for name in ("proxies", "upstreams"):
        parser.add_argument(
            f"--{name}",
            nargs="+",
            required=True,
            type=parse_address_argument,
            metavar="IP:PORT",
        )
    parser.add_argument("--user", default="booking")
    parser.add_argument("--password", default="")


def add_results(parser: argparse.ArgumentParser) -> None:
    """Add the option for the folder of result files."""
    parser.add_argument("--results", type=Path, default=Path("results"))
