"""Entry point of the load and experiment tool."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from ebonyrack.load.booking import format_table
from ebonyrack.load.booking import run_booking
from ebonyrack.load.bootstrap import BootstrapError
from ebonyrack.load.bootstrap import put_document
from ebonyrack.load.caller import WorkloadOptions
from ebonyrack.load.group_check import NoPrimaryError
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


COMMANDS = {"booking": run_booking_command, "document": run_document_command}


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
    except (OSError, NoPrimaryError, BootstrapError) as error:
        print(f"ebonyrack-load: {error}", file=sys.stderr)
        return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main())
