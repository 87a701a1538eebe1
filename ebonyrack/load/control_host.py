"""Hosts proxies that run only the control plane, and tells what happens in them."""

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
    """Which proxies a process hosts.

    Attributes:
        store: Address of the platform's store.
        listen_ip: IP address at which all proxies of the run listen.
        first: Number of the first proxy here.
        count: Number of proxies here.
        data_centres: Number of data centres; proxies take turns.
    """

    store: Address
    listen_ip: str
    first: int
    count: int
    data_centres: int


def find_address(listen_ip: str, number: int) -> Address:
    """Return the peer address of a proxy."""
    return Address(listen_ip, FIRST_PORT + number)


def write_event(event: str, **fields: Any) -> None:
    """Print one line about what happened, with the machine's monotonic time."""
    print(json.dumps({"event": event, "at_s": now_s(), **fields}), flush=True)


class HostedProxy(Component):
    """One proxy with its share count: an async context manager.

    Attributes:
        plane: The proxy.
        shares: By how many proxies it divides connections.
        count: The count that was told last.
    """

    __slots__ = ("plane", "shares", "count", "stack")

    def __init__(self, options: HostOptions, number: int) -> None:
        seeds = [find_address(options.listen_ip, seed) for seed in range(3)]
        settings = build_settings(
            f"proxy-{number}",
            options.store,
            seeds,
            f"dc-{number % options.data_centres}",
            timeouts=DAEMON_TIMEOUTS,
        )
        address = find_address(options.listen_ip, number)
        proxy = settings.proxy.model_copy(update={"peer_address": address})
        settings = type(settings)(proxy, settings.store, settings.peers, settings.log)
        self.plane = ControlPlane(settings)
        self.shares = ShareCount(self.plane.hub.membership)
        self.count = 0
        self.stack = AsyncExitStack()

    async def start(self) -> None:
        """Start the proxy and tell its changes."""
        name = self.plane.name
        self.plane.state.subscribe(
            lambda document: write_event(
                "in_force", proxy=name, revision=document.revision
            )
        )
        await self.stack.enter_async_context(self.plane)
        await self.stack.enter_async_context(self.shares)
        self.plane.hub.membership.subscribe(self.notice_member)
        self.shares.subscribe(self.tell_count)

    async def stop(self) -> None:
        """Stop the proxy."""
        await self.stack.aclose()

    def notice_member(self, member: Member) -> None:
        """Look at the count after a change of the members."""
        self.tell_count()

    def tell_count(self) -> None:
        """Tell the share count if it changed."""
        count = self.shares.count()
        if count != self.count:
            self.count = count
            write_event("shares", proxy=self.plane.name, count=count)


def tell_usage(proxies: list[HostedProxy]) -> None:
    """Tell what this process has used so far."""
    traffic = [proxy.plane.hub.traffic for proxy in proxies]
    write_event(
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
    """Run the proxies until they are told to stop.

    Args:
        options: Which proxies.
        is_stopped: Asked again and again whether to stop.
    """
    async with AsyncExitStack() as stack:
        proxies = [
            await stack.enter_async_context(HostedProxy(options, number))
            for number in range(options.first, options.first + options.count)
        ]
        write_event("started", pid=os.getpid(), first=options.first)
        while not is_stopped():
            tell_usage(proxies)
            await asyncio.sleep(USAGE_INTERVAL_S)
