"""Entry point of the stand-ins: the platform, one upstream, or a whole group."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from collections.abc import Sequence
from contextlib import AsyncExitStack

from ebonyrack.scripts.arguments import parse_address_argument
from ebonyrack.scripts.arguments import parse_non_negative
from ebonyrack.scripts.arguments import parse_peer_argument
from ebonyrack.standins.control import FaultControl
from ebonyrack.standins.group import FIRST_TERM
from ebonyrack.standins.group import StandinGroup
from ebonyrack.standins.options import UpstreamOptions
from ebonyrack.standins.platform import StandinPlatform
from ebonyrack.standins.upstream import StandinUpstream

EXIT_ERROR = 2
ROLES = ("primary", "replica", "none")
DELAY_OPTIONS = (
    "connection_cost_s",
    "statement_cost_s",
    "receive_delay_s",
    "apply_delay_s",
    "link_delay_s",
)


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(prog="ebonyrack-standin", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    platform = commands.add_parser("platform", help="key-value service and VM list")
    add_listen_option(platform)
    upstream = commands.add_parser("upstream", help="one upstream of a group")
    add_listen_option(upstream)
    upstream.add_argument("--name", required=True)
    upstream.add_argument("--initial-role", choices=ROLES, default="none")
    upstream.add_argument(
        "--peers",
        nargs="*",
        default=[],
        type=parse_peer_argument,
        metavar="NAME=IP:PORT",
        help="the other upstreams; an initial replica follows the first of them",
    )
    add_upstream_options(upstream)
    group = commands.add_parser("group", help="a whole group in one process")
    group.add_argument(
        "--listen",
        nargs="+",
        required=True,
        type=parse_address_argument,
        metavar="IP:PORT",
        help="address of each upstream; the first starts as primary",
    )
    group.add_argument("--name-prefix", default="up")
    group.add_argument(
        "--control",
        type=parse_address_argument,
        metavar="IP:PORT",
        help="address of the HTTP interface that injects faults",
    )
    add_upstream_options(group)
    return parser


def add_listen_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for the address to listen on."""
    parser.add_argument(
        "--listen", required=True, type=parse_address_argument, metavar="IP:PORT"
    )


def add_upstream_options(parser: argparse.ArgumentParser) -> None:
    """Add the options for the limits and delays of an upstream."""
    defaults = UpstreamOptions()
    parser.add_argument(
        "--connection-limit", type=int, default=defaults.connection_limit
    )
    parser.add_argument("--slots", type=int, default=defaults.slots)
    for name in DELAY_OPTIONS:
        option = "--" + name.replace("_", "-")
        default = getattr(defaults, name)
        parser.add_argument(option, type=parse_non_negative, default=default)


def build_upstream_options(arguments: argparse.Namespace) -> UpstreamOptions:
    """Build the limits and delays from the command line."""
    delays = {name: getattr(arguments, name) for name in DELAY_OPTIONS}
    return UpstreamOptions(arguments.connection_limit, arguments.slots, **delays)


async def run_platform(arguments: argparse.Namespace, stack: AsyncExitStack) -> str:
    """Start the platform and return its address."""
    platform = await stack.enter_async_context(StandinPlatform(arguments.listen))
    return str(platform.address)


async def run_upstream(arguments: argparse.Namespace, stack: AsyncExitStack) -> str:
    """Start one upstream in its initial role and return its address."""
    upstream = StandinUpstream(
        arguments.name, build_upstream_options(arguments), arguments.listen
    )
    await stack.enter_async_context(upstream)
    upstream.peer_names = {address: name for name, address in arguments.peers}
    if arguments.initial_role == "primary":
        await upstream.fence(FIRST_TERM)
        await upstream.promote(FIRST_TERM)
    elif arguments.initial_role == "replica":
        _, primary = arguments.peers[0]
        await upstream.follow(FIRST_TERM, primary)
    return str(upstream.address)


async def run_group(arguments: argparse.Namespace, stack: AsyncExitStack) -> str:
    """Start a group in this process and return the addresses of its upstreams."""
    group = StandinGroup(
        len(arguments.listen),
        build_upstream_options(arguments),
        tuple(arguments.listen),
        name_prefix=arguments.name_prefix,
    )
    await stack.enter_async_context(group)
    addresses = [f"{spec.name}={spec.address}" for spec in group.specs()]
    if arguments.control is not None:
        control = FaultControl(group, arguments.control)
        await stack.enter_async_context(control)
        addresses.append(f"control={control.address}")
    return " ".join(addresses)


COMMANDS = {"platform": run_platform, "upstream": run_upstream, "group": run_group}


async def run(arguments: argparse.Namespace) -> None:
    """Start the chosen stand-in and wait for SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    async with AsyncExitStack() as stack:
        addresses = await COMMANDS[arguments.command](arguments, stack)
        print(f"listening on {addresses}", flush=True)
        await stop_requested.wait()


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line.

    Args:
        argv: Command line without the program's name; `sys.argv` if None.

    Returns:
        Exit status.
    """
    parser = build_parser()
    arguments = parser.parse_args(argv)
    if arguments.command == "upstream":
        if arguments.initial_role == "replica" and not arguments.peers:
            parser.error("an initial replica needs --peers with the primary first")
    try:
        asyncio.run(run(arguments))
    except OSError as error:
        print(f"ebonyrack-standin: {error}", file=sys.stderr)
        return EXIT_ERROR
    return 0


if __name__ == "__main__":
    sys.exit(main())
