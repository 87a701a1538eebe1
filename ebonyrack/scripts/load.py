"""Entry point of the load and experiment tool."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import time
from collections.abc import Sequence

from loguru import logger

from ebonyrack.load.bench import BenchOptions
from ebonyrack.load.bench import run_bench
from ebonyrack.load.booking import format_table
from ebonyrack.load.booking import run_booking
from ebonyrack.load.bootstrap import BootstrapError
from ebonyrack.load.bootstrap import put_document
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
from ebonyrack.load.soak import run_soak
from ebonyrack.load.soak_system import SoakOptions
from ebonyrack.load.workload_options import WorkloadOptions
from ebonyrack.scripts.load_arguments import build_parser

EXIT_OK = 0
EXIT_VIOLATION = 1
EXIT_ERROR = 2


async def run_host_command(arguments: argparse.Namespace) -> int:
    """Host control planes until the process receives SIGTERM."""
    logger.remove()
    stop_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop_requested.set)
    options = HostOptions(
        store=arguments.store,
        listen_ip=arguments.network,
        first=arguments.first,
        count=arguments.count,
        data_centres=arguments.data_centres,
    )
    await run_host(options, stop_requested.is_set)
    return EXIT_OK


async def run_control_plane_command(arguments: argparse.Namespace) -> int:
    """Measure hosted control planes, then print and store the row."""
    measurement = Measurement(
        store=arguments.store,
        listen_ip=arguments.network,
        nodes=arguments.nodes,
        groups=arguments.groups,
        logs=tuple(arguments.logs),
        victim_log=arguments.victim,
        edits=arguments.edits,
        idle_s=arguments.idle_s,
    )
    rows = await run_measurement(measurement)
    name = f"control_plane_{arguments.nodes}_{arguments.groups}"
    path = write_results(arguments.results, name, rows)
    print(json.dumps(rows[0]))
    print(path)
    return EXIT_OK


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
    """Run the benchmark, then print and store its results."""
    options = BenchOptions(
        proxy=arguments.proxy,
        upstream=arguments.upstream,
        proxy_pid=arguments.proxy_pid,
        callers=arguments.callers,
        duration_s=arguments.duration_s,
        idle_callers=arguments.idle_callers,
    )
    results = await run_bench(options)
    path = write_results(arguments.results, "bench", [results])
    print(format_table(results))
    print(path)
    return EXIT_OK


async def run_idle_cost_command(arguments: argparse.Namespace) -> int:
    """Measure idle proxies, then print and store the rows."""
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
    """Run an experiment, then print its summary and store its trials."""
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
    """Run the booking workload and print its summary as a table and as JSON."""
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
    return EXIT_OK if result.is_correct else EXIT_VIOLATION


async def run_document_command(arguments: argparse.Namespace) -> int:
    """Put the first operators' document into the store."""
    text = arguments.file.read_text(encoding="utf-8")
    await put_document(arguments.store, arguments.prefix, text)
    print(f"{arguments.file}: accepted as revision 1")
    return EXIT_OK


async def run_soak_command(arguments: argparse.Namespace) -> int:
    """Run soak tests and print a row for each; a violated guarantee is an error."""
    logger.remove()
    status = EXIT_OK
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        options = SoakOptions(
            seed,
            arguments.seconds,
            arguments.processes,
            arguments.callers,
            not arguments.unfenced,
            arguments.accounts,
        )
        row = await run_soak(options)
        print(json.dumps(row), flush=True)
        if row["faults"]:
            status = EXIT_VIOLATION
    return status


COMMANDS = {
    "soak": run_soak_command,
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
        argv: Command line without the program's name; `sys.argv` if None.

    Returns:
        0 on success, 1 if a guarantee was violated, 2 for a usage or system error.
    """
    arguments = build_parser().parse_args(argv)
    try:
        return asyncio.run(COMMANDS[arguments.command](arguments))
    except (OSError, NoPrimaryError, BootstrapError, ClusterError) as error:
        print(f"ebonyrack-load: {error}", file=sys.stderr)
        return EXIT_ERROR


if __name__ == "__main__":
    sys.exit(main())
