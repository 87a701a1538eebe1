"""Stand-ins of the platform and a database group, and proxies, in one event loop."""

from __future__ import annotations

import asyncio
import itertools
import os
import socket
from contextlib import AsyncExitStack
from contextlib import ExitStack
from typing import Any

from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.core.route_settings import RouteProxySettings
from ebonyrack.core.tasks import end_tasks
from ebonyrack.platform.proxy import PlatformProxy
from ebonyrack.standins.kv_service import KvService
from ebonyrack.standins.line_group import LineGroup
from ebonyrack.standins.line_group import LineMember
from ebonyrack.standins.line_messages import MAXIMUM_MESSAGE_BYTES
from ebonyrack.standins.line_messages import encode_message
from ebonyrack.standins.line_messages import read_message
from ebonyrack.standins.line_upstream import LineUpstream

caller_numbers = itertools.count(1)

GROUP = "scheduling"
MEMBER_IDS = ["up-1", "up-2", "up-3"]
HEARTBEAT_INTERVAL_S = 0.1
DATA_CENTRE = "bangkok-a"
# Pause before a caller retries a write that did not complete.
WRITE_PAUSE_S = 0.05


def find_free_addresses(count: int) -> list[Address]:
    """Return different loopback addresses on which nothing listens.

    The host depends on the process, so that no other process takes the ports meanwhile.

    Args:
        count: Number of addresses.
    """
    process = os.getpid()
    host = f"127.{1 + process // 65536 % 200}.{process // 256 % 256}.{process % 256}"
    with ExitStack() as stack:
        # A port may be given out again as soon as its probe is closed.
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((host, 0))
        return [Address(host, probe.getsockname()[1]) for probe in probes]


def build_document(version: int, **changes: dict[str, Any]) -> dict[str, Any]:
    """Return the operators' document, with one route for each consistency.

    Args:
        version: Its version number.
        **changes: Changed fields of a route, by the name of its database.
    """
    routes = []
    for database, kind in (
        ("booking", "primary"),
        ("calendar", "bounded_staleness"),
        ("confirmation", "read_your_writes"),
    ):
        route = {
            "host": database,
            "kind": kind,
            "service": GROUP,
            "timeoutMs": 800,
            "targetLatencyMs": 250,
            "priority": 1,
        }
        if kind != "primary":
            route["maxStalenessMs"] = 1500
        routes.append({**route, **changes.get(database, {})})
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": GROUP, "maxConnections": 22, "syncReplicas": 1}],
        "limits": {"txIdleMs": 3000, "headerTimeoutMs": 3000},
    }


def require_accounts(
    document: dict[str, Any],
    keys: dict[str, list[str]],
    **limits: dict[str, Any],
) -> dict[str, Any]:
    """Return a document with client accounts, whose routes need a key.

    Args:
        document: The document.
        keys: Keys by name of the account.
        **limits: Further fields of an account, by its name.
    """
    tenants = [
        {"name": name, "apiKeys": account_keys, "priority": 1, **limits.get(name, {})}
        for name, account_keys in keys.items()
    ]
    routes = [{**route, "allowAnonymous": False} for route in document["routes"]]
    return {**document, "routes": routes, "tenants": tenants}


class LineSystem(Component):
    """A group of three upstreams, the platform's service and proxies.

    Attributes:
        group: Model of the group.
        service: The platform's service.
        upstreams: Upstreams by member ID.
        proxies: The running proxies.
        publisher_tasks: Tasks that renew the entries of the upstreams, by member ID.
        document: The newest document of the operators.
        setting_changes: Settings of the proxies that differ from the usual ones.
    """

    def __init__(self, proxy_count: int = 1, is_promotion_fenced: bool = True) -> None:
        self.group = LineGroup(
            GROUP, MEMBER_IDS, is_promotion_fenced=is_promotion_fenced
        )
        self.service = KvService({GROUP: self.group}, era=1)
        self.service.requires_fencing = is_promotion_fenced
        self.upstreams = {
            member_id: LineUpstream(self.group, member)
            for member_id, member in self.group.members.items()
        }
        self.proxy_count = proxy_count
        self.proxies: list[PlatformProxy] = []
        self.stack = AsyncExitStack()
        self.publisher_tasks: dict[str, asyncio.Task[None]] = {}
        self.document = build_document(1)
        self.setting_changes: dict[str, Any] = {}

    async def start(self) -> None:
        """Start the stand-ins and the proxies; wait until the proxies are ready."""
        await self.stack.enter_async_context(self.service)
        for upstream in self.upstreams.values():
            await self.stack.enter_async_context(upstream)
            await self.publish_entry(upstream)
        await self.publish_document(self.document)
        for member_id, upstream in self.upstreams.items():
            self.publisher_tasks[member_id] = asyncio.create_task(
                self.publish_entries(upstream)
            )
        for number in range(self.proxy_count):
            await self.add_proxy(f"proxy-{number}")

    async def stop(self) -> None:
        """Stop the proxies and the stand-ins."""
        await end_tasks(self.publisher_tasks.values())
        await self.stack.aclose()

    async def add_upstream(
        self, member_id: str, address: Address | None = None
    ) -> LineUpstream:
        """Start another replica, which receives the primary's log.

        Args:
            member_id: ID of the upstream.
            address: Address of a stopped upstream that it takes over, or None.
        """
        member = LineMember(member_id)
        self.group.members[member_id] = member
        upstream = LineUpstream(self.group, member)
        if address is not None:
            upstream.address = address
        self.upstreams[member_id] = upstream
        await self.stack.enter_async_context(upstream)
        await self.publish_entry(upstream)
        self.publisher_tasks[member_id] = asyncio.create_task(
            self.publish_entries(upstream)
        )
        primary = self.group.primary
        if primary is not None:
            self.group.replicate(primary)
        return upstream

    async def add_proxy(self, name: str) -> PlatformProxy:
        """Start a proxy and wait until it is ready."""
        caller_address, ready_address, peer_address = find_free_addresses(3)
        proxy = PlatformProxy(
            RouteProxySettings(
                name=name,
                data_centre=DATA_CENTRE,
                caller_address=caller_address,
                ready_address=ready_address,
                store_address=self.service.address,
                order_address=self.service.address,
                grace_s=2.0,
                is_promotion_fenced=self.group.is_promotion_fenced,
                peer_address=peer_address,
                **self.setting_changes,
            )
        )
        await self.stack.enter_async_context(proxy)
        self.proxies.append(proxy)
        while not proxy.proxy.is_ready:
            await asyncio.sleep(0.01)
        # Tests start as if the platform had been running for a long time.
        proxy.proxy.discovery_completed = True
        proxy.store.era.seen_at_s = float("-inf")
        return proxy

    async def publish_document(self, document: dict[str, Any]) -> None:
        """Write a document to the store."""
        self.document = document
        await self.service.put_json("op/config", document)

    async def change_document(self, document: dict[str, Any]) -> None:
        """Write a document and wait until all proxies have it in force."""
        await self.publish_document(document)
        for proxy in self.proxies:
            while proxy.proxy.services.routes.table.version < document["version"]:
                await asyncio.sleep(0.01)

    async def publish_entry(self, upstream: LineUpstream, **changes: object) -> None:
        """Write an upstream's entry to the store."""
        member = upstream.member
        entry = {
            "service": GROUP,
            "address": str(upstream.address),
            "zone": DATA_CENTRE,
            "version": "v1",
            "slots": 3,
            "phase": "draining" if member.is_leaving else "ready",
            "coldRemainingMs": 0,
            "dbRole": "primary" if member.is_primary else "replica",
            "born": member.started_at_ms,
            **changes,
        }
        await self.service.put_json(f"servers/{member.member_id}", entry)

    async def publish_entries(self, upstream: LineUpstream) -> None:
        """Renew an upstream's entry periodically, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            if upstream.server is not None:
                await self.publish_entry(upstream)


class LineCaller(Component):
    """A caller of a proxy.

    Attributes:
        address: Address of the proxy.
        database: Database that it connects to.
        key: Its key, or any word where there are no accounts.
        startup_reply: Reply to its startup line.
        number: Its number.
        request_number: Number of its last request.
    """

    def __init__(self, address: Address, database: str, key: str = "tester") -> None:
        self.address = address
        self.database = database
        self.key = key
        self.startup_reply = ""
        self.number = next(caller_numbers)
        self.request_number = 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    @property
    def request_id(self) -> str:
        """ID of its last request."""
        return f"{self.number:x}-{self.request_number}"

    async def start(self) -> None:
        """Connect and open a session."""
        self.reader, self.writer = await asyncio.open_connection(
            self.address.host, self.address.port, limit=MAXIMUM_MESSAGE_BYTES
        )
        self.writer.write(encode_message(f"STARTUP {self.database} {self.key}"))
        self.startup_reply = await read_message(self.reader) or ""

    async def stop(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()

    async def execute(self, text: str) -> list[str]:
        """Send a statement with a new ID; return the lines of the reply."""
        self.request_number += 1
        await self.send(encode_message(f"QUERY {self.request_id} {text}"))
        return await self.read_reply()

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        assert self.writer is not None
        self.writer.write(data)

    async def write_until_complete(self, item: str, limit_s: float) -> None:
        """Retry a write until it completes.

        Raises:
            TimeoutError: If none completes in time.
        """
        async with asyncio.timeout(limit_s):
            answer = await self.execute(f"WRITE {item} mali")
            while not answer or not answer[0].startswith("COMPLETE"):
                await asyncio.sleep(WRITE_PAUSE_S)
                answer = await self.execute(f"WRITE {item} mali")

    async def send_line(self, line: bytes) -> list[str]:
        """Send a raw line; return the lines of the reply."""
        await self.send(line)
        return await self.read_reply()

    async def read_reply(self) -> list[str]:
        """Return the lines up to the end of the reply or of the connection."""
        assert self.reader is not None
        lines = []
        while (line := await read_message(self.reader)) is not None:
            lines.append(line)
            if line.startswith("READY "):
                break
        return lines
