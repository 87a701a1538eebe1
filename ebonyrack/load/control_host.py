"""Hosts proxies that run only the control plane, and prints their events."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.load.process_stats import read_processor_s
from ebonyrack.load.process_stats import read_resident_bytes
from ebonyrack.peers.member import Member
from ebonyrack.peers.shares import ShareCount
from ebonyrack.standins.control_plane import DAEMON_TIMEOUTS
from ebonyrack.standins.control_plane import ControlPlane
from ebonyrack.standins.control_plane import build_settings

USAGE_INTERVAL_S = 1.0
FIRST_PORT = 7000


@dataclass(frozen=True, slots=True)
class HostOptions:
    """The proxies that a process hosts.

    Attributes:
        store: Address of the platform's store.
        listen_ip: IP address at which all proxies of the run listen.
        first: Number of the first proxy in this process.
        count: Number of proxies in this process.
        data_centres: Number of data centres, assigned to the proxies round-robin.
    """

    store: Address
    listen_ip: str
    first: int
    count: int
    data_centres: int


def build_peer_address(listen_ip: str, number: int) -> Address:
    """Return the peer address of the proxy with a number."""
    return Address(listen_ip, FIRST_PORT + number)


def print_event(event: str, **fields: Any) -> None:
    """Print an event as a line of JSON, with the monotonic time.

    The monotonic clock is the same in all processes of a machine, so events of
    several hosts can be compared.
    """
    print(json.dumps({"event": event, "at_s": now_s(), **fields}), flush=True)


class HostedProxy(Component):
    """One proxy with its share count: an async context manager.

    Attributes:
        plane: The control plane of the proxy.
        share_count: Counts the proxies among which connections are divided.
        reported_count: Share count that was printed last.
    """

    __slots__ = ("plane", "share_count", "reported_count", "stack")

    def __init__(self, options: HostOptions, number: int) -> None:
        seeds = [build_peer_address(options.listen_ip, seed) for seed in range(3)]
        settings = build_settings(
            f"proxy-{number}",
            options.store,
            seeds,
            f"dc-{number % options.data_centres}",
            timeouts=DAEMON_TIMEOUTS,
        )
        address = build_peer_address(options.listen_ip, number)
        proxy = settings.proxy.model_copy(update={"peer_address": address})
        settings = type(settings)(proxy, settings.store, settings.peers, settings.log)
        self.plane = ControlPlane(settings)
        self.share_count = ShareCount(self.plane.hub.membership)
        self.reported_count = 0
        self.stack = AsyncExitStack()

    async def start(self) -> None:
        """Start the proxy and print its events."""
        name = self.plane.name
        self.plane.state.subscribe(
            lambda document: print_event(
                "in_force", proxy=name, revision=document.revision
            )
        )
        await self.stack.enter_async_context(self.plane)
        await self.stack.enter_async_context(self.share_count)
        self.plane.hub.membership.subscribe(self.handle_member_change)
        self.share_count.subscribe(self.report_share_count)

    async def stop(self) -> None:
        """Stop the proxy."""
        await self.stack.aclose()

    def handle_member_change(self, member: Member) -> None:
        """Report the share count after a change of a member."""
        self.report_share_count()

    def report_share_count(self) -> None:
        """Print the share count if it has changed."""
        count = self.share_count.count()
        if count != self.reported_count:
            self.reported_count = count
            print_event("shares", proxy=self.plane.name, count=count)


def report_usage(proxies: list[HostedProxy]) -> None:
    """Print the resources that this process and its proxies have used so far."""
    traffic = [proxy.plane.hub.traffic for proxy in proxies]
    print_event(
        "usage",
        proxies=len(proxies),
        processor_s=read_processor_s(os.getpid()),
        resident_bytes=read_resident_bytes(os.getpid()),
        bytes_sent=sum(counter.bytes_sent for counter in traffic),
        bytes_received=sum(counter.bytes_received for counter in traffic),
        messages_sent=sum(counter.messages_sent for counter in traffic),
        store_calls=sum(proxy.plane.store.calls.total() for proxy in proxies),
        links=sum(len(proxy.plane.hub.links) for proxy in proxies),
    )


async def run_host(options: HostOptions, is_stopped: Callable[[], bool]) -> None:
    """Run the proxies until the process is told to stop.

    Args:
        options: The proxies to host.
        is_stopped: Called periodically; returns whether to stop.
    """
    async with AsyncExitStack() as stack:
        proxies = [
            await stack.enter_async_context(HostedProxy(options, number))
            for number in range(options.first, options.first + options.count)
        ]
        print_event("started", pid=os.getpid(), first=options.first)
        while not is_stopped():
            report_usage(proxies)
            await asyncio.sleep(USAGE_INTERVAL_S)
