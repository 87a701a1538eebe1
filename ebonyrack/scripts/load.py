"""Entry point of the load and experiment tool."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from loguru import logger

from ebonyrack.load import experiments  # noqa: F401 (fills the registry)
from ebonyrack.load.bench import BenchOptions
from ebonyrack.load.bench import run_bench
from ebonyrack.load.booking import format_table
from ebonyrack.load.booking import run_booking
from ebonyrack.load.bootstrap import BootstrapError
from ebonyrack.load.bootstrap import put_document
from ebonyrack.load.caller import WorkloadOptions
from ebonyrack.load.cluster import Cluster
from ebonyrack.load.cluster import ClusterError
from ebonyrack.load.context import EXPERIMENTS
from ebonyrack.load.context import ExperimentContext
from ebonyrack.load.control_host import HostOptions
from ebonyrack.load.control_host import run_host
from ebonyrack.load.control_plane import Measurement
from ebonyrack.load.control_plane import run_measurement
from ebonyrack.load.group_check import NoPrimaryError
from ebonyrack.load.idle_cost import IdleOptions
from ebonyrack.load.idle_cost import measure_idle_cost
from ebonyrack.load.report import draw_report
from ebonyrack.load.results import format_rows
from ebonyrack.load.results import read_results
from ebonyrack.load.results import write_results
from ebonyrack.scripts.standin import read_address_argument
from ebonyrack.scripts.standin import read_positive

EXIT_OK = 0
EXIT_WRONG = 1
EXIT_USAGE = 2


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(prog="ebonyrack-load", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    add_booking(commands)
    add_document(commands)
    add_bench(commands)
    add_idle_cost(commands)
    add_experiment(commands)
    add_report(commands)
    add_control_plane(commands)
    return parser


def add_booking(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the command that runs the booking workload."""
    booking = commands.add_parser("booking", help="reserve slots and read them back")
    for name in ("proxies", "upstreams"):
        booking.add_argument(
            f"--{name}",
            nargs="+",
            required=True,
            type=read_address_argument,
            metavar="IP:PORT",
        )
    booking.add_argument("--user", default="booking")
    booking.add_argument("--password", default="")
    booking.add_argument("--database", default="booking")
    booking.add_argument("--callers", type=int, default=20)
    booking.add_argument("--duration-s", type=read_positive, default=20.0)
    booking.add_argument("--write-share", type=read_positive, default=0.1)
    booking.add_argument("--think-s", type=read_positive, default=0.0)
    booking.add_argument(
        "--mark", type=Path, help="file with the wall time of an injected fault"
    )


def add_document(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the command that puts a first operators' document into the store."""
    document = commands.add_parser(
        "document", help="put the first operators' document into an empty store"
    )
    document.add_argument("--store", required=True, type=read_address_argument)
    document.add_argument("--prefix", default="ebonyrack")
    document.add_argument("--file", required=True, type=Path)


def add_bench(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the command that compares a proxy with the direct connection."""
    bench = commands.add_parser("bench", help="compare with the direct connection")
    bench.add_argument("--proxy", required=True, type=read_address_argument)
    bench.add_argument("--upstream", required=True, type=read_address_argument)
    bench.add_argument("--proxy-pid", required=True, type=int)
    bench.add_argument("--callers", type=int, default=32)
    bench.add_argument("--duration-s", type=read_positive, default=5.0)
    bench.add_argument("--idle-callers", type=int, default=2500)
    bench.add_argument("--results", type=Path, default=Path("results"))


def add_idle_cost(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Add the command that measures proxies without requests."""
    idle = commands.add_parser("idle-cost", help="processor time and memory at rest")
    idle.add_argument("--pids", nargs="+", required=True, type=int)
    idle.add_argument("--groups", required=True, type=int)
    idle.add_argument("--duration-s", type=read_positive, default=15.0)
    idle.add_argument("--results", type=Path, default=Path("results"))


def add_experiment(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Add the command that runs an experiment around a running cluster."""
    experiment = commands.add_parser("experiment", help="run one experiment")
    experiment.add_argument("name", choices=sorted(EXPERIMENTS.entries))
    for name in ("proxies", "upstreams"):
        experiment.add_argument(
            f"--{name}",
            nargs="+",
            required=True,
            type=read_address_argument,
            metavar="IP:PORT",
        )
    for name in ("store", "control"):
        experiment.add_argument(
            f"--{name}", required=True, type=read_address_argument, metavar="IP:PORT"
        )
    experiment.add_argument("--proxy-logs", nargs="*", type=Path, default=[])
    experiment.add_argument(
        "--peers", nargs="*", type=read_address_argument, default=[], metavar="IP:PORT"
    )
    experiment.add_argument("--peer-secret", default="")
    experiment.add_argument("--document", required=True, type=Path)
    experiment.add_argument("--user", default="booking")
    experiment.add_argument("--password", default="")
    experiment.add_argument("--trials", type=int, default=20)
    experiment.add_argument("--duration-s", type=read_positive, default=15.0)
    experiment.add_argument("--policies", nargs="*", default=[])
    experiment.add_argument("--faults", nargs="*", default=[])
    experiment.add_argument("--results", type=Path, default=Path("results"))


def add_control_plane(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Add the commands that host control planes and that measure them."""
    host = commands.add_parser("control-host", help="proxies without callers")
    host.add_argument("--first", type=int, required=True)
    host.add_argument("--count", type=int, default=1)
    host.add_argument("--data-centres", type=int, default=4)
    measure = commands.add_parser("control-plane", help="measure such proxies")
    measure.add_argument("--nodes", type=int, required=True)
    measure.add_argument("--groups", type=int, default=3)
    measure.add_argument("--edits", type=int, default=100)
    measure.add_argument("--idle-s", type=read_positive, default=15.0)
    measure.add_argument("--logs", nargs="+", type=Path, required=True)
    measure.add_argument("--victim", type=Path, required=True)
    measure.add_argument("--results", type=Path, default=Path("results"))
    for parser in (host, measure):
        parser.add_argument("--network", required=True, metavar="IP")
        parser.add_argument(
            "--store", required=True, type=read_address_argument, metavar="IP:PORT"
        )


async def run_host_command(arguments: argparse.Namespace) -> int:
    """Host control planes until the process is told to stop."""
    logger.remove()
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    options = HostOptions(
        store=arguments.store,
        network=arguments.network,
        first=arguments.first,
        count=arguments.count,
        data_centres=arguments.data_centres,
    )
    await run_host(options, stopped.is_set)
    return EXIT_OK


async def run_control_plane_command(arguments: argparse.Namespace) -> int:
    """Measure hosted control planes, print the row and keep it."""
    measurement = Measurement(
        store=arguments.store,
        network=arguments.network,
        nodes=arguments.nodes,
        groups=arguments.groups,
        logs=tuple(arguments.logs),
        victim=arguments.victim,
        edits=arguments.edits,
        idle_s=arguments.idle_s,
    )
    rows = await run_measurement(measurement)
    name = f"control_plane_{arguments.nodes}_{arguments.groups}"
    path = write_results(arguments.results, name, rows)
    print(json.dumps(rows[0]))
    print(path)
    return EXIT_OK


def add_report(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the command that draws the plots of the results."""
    report = commands.add_parser("report", help="draw the plots of the results")
    report.add_argument("--results", type=Path, default=Path("results"))
    report.add_argument("--plots", type=Path, default=Path("docs/plots"))


async def run_report_command(arguments: argparse.Namespace) -> int:
    """Print the table of each result and draw the plots."""
    for source in sorted(arguments.results.glob("*.jsonl")):
        header, rows = read_results(source)
        print(f"{source.stem}: {header['measured_at']}, load {header['command']}")
        print(format_rows(rows))
    for target in draw_report(arguments.results, arguments.plots):
        print(target)
    return EXIT_OK


async def run_bench_command(arguments: argparse.Namespace) -> int:
    """Run the bench, print its table and keep its figures."""
    options = BenchOptions(
        proxy=arguments.proxy,
        upstream=arguments.upstream,
        proxy_pid=arguments.proxy_pid,
        callers=arguments.callers,
        duration_s=arguments.duration_s,
        idle_callers=arguments.idle_callers,
    )
    figures = await run_bench(options)
    path = write_results(arguments.results, "bench", [figures])
    print(format_table(figures))
    print(path)
    return EXIT_OK


async def run_idle_cost_command(arguments: argparse.Namespace) -> int:
    """Measure idle proxies, print a table and keep its rows."""
    options = IdleOptions(
        pids=tuple(arguments.pids),
        groups=arguments.groups,
        duration_s=arguments.duration_s,
    )
    rows = await measure_idle_cost(options)
    name = f"idle_cost_{arguments.groups}_{len(options.pids)}"
    print(format_rows(rows))
    print(write_results(arguments.results, name, rows))
    return EXIT_OK


async def run_experiment_command(arguments: argparse.Namespace) -> int:
    """Run an experiment, print its table and keep its rows."""
    text = arguments.document.read_text(encoding="utf-8")
    async with Cluster(arguments.control, arguments.store, text) as cluster:
        context = ExperimentContext(
            cluster=cluster,
            upstreams=tuple(arguments.upstreams),
            options=WorkloadOptions(
                proxies=tuple(arguments.proxies),
                user=arguments.user,
                password=arguments.password,
            ),
            proxy_logs=tuple(arguments.proxy_logs),
            trials=arguments.trials,
            duration_s=arguments.duration_s,
            policies=tuple(arguments.policies),
            faults=tuple(arguments.faults),
            peers=tuple(arguments.peers),
            peer_secret=arguments.peer_secret,
        )
        result = await EXPERIMENTS.get(arguments.name)(context)
    path = write_results(arguments.results, arguments.name, result.trials)
    print(format_rows(result.summary))
    print(path)
    return EXIT_OK


async def run_booking_command(arguments: argparse.Namespace) -> int:
    """Run the booking workload and print its table and its JSON line."""
    options = WorkloadOptions(
        proxies=tuple(arguments.proxies),
        user=arguments.user,
        password=arguments.password,
        database=arguments.database,
        write_share=arguments.write_share,
        think_s=arguments.think_s,
        run_id=f"run{time.time_ns():x}",
    )
    result = await run_booking(
        tuple(arguments.upstreams),
        options,
        arguments.callers,
        arguments.duration_s,
        arguments.mark,
    )
    summary = result.summarize()
    for example in result.record.examples:
        print(example, file=sys.stderr)
    print(format_table(summary))
    print(json.dumps(summary))
    return EXIT_OK if result.is_correct else EXIT_WRONG


async def run_document_command(arguments: argparse.Namespace) -> int:
    """Put the first document into the store."""
    text = arguments.file.read_text(encoding="utf-8")
    await put_document(arguments.store, arguments.prefix, text)
    print(f"{arguments.file}: accepted as revision 1")
    return EXIT_OK


COMMANDS = {
    "booking": run_booking_command,
    "document": run_document_command,
    "bench": run_bench_command,
    "idle-cost": run_idle_cost_command,
    "experiment": run_experiment_command,
    "report": run_report_command,
    "control-host": run_host_command,
    "control-plane": run_control_plane_command,
}


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line.

    Args:
        argv: Arguments without the program's name; those of the process if None.

    Returns:
        0 when all went right, 1 when a guarantee was broken, 2 for bad usage.
    """
    arguments = build_parser().parse_args(argv)
    try:
        return asyncio.run(COMMANDS[arguments.command](arguments))
    except (OSError, NoPrimaryError, BootstrapError, ClusterError) as error:
        print(f"ebonyrack-load: {error}", file=sys.stderr)
        return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main())
