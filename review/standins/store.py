"""Stand-in of the platform's store and of its endpoint for promotions."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

PAGE_ITEMS = 500
EXPIRY_INTERVAL_S = 0.05
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Failed"}


@dataclass
class Item:
    """A key's value, its revisions and its lease."""

    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """The store: keys, leases, watches, conditional changes, and promotions.

    Attributes:
        host: Address to listen on.
        port: Port to listen on, 0 until it is started.
        is_silent: Whether calls are read and never answered; a connection on which a
            response was lost returns nothing further.
        promote: Carries out a promotion; returns the HTTP status.
    """

    def __init__(self, host: str, log: Callable[[str], None]) -> None:
        self.host = host
        self.port = 0
        self.log = log
        self.items: dict[str, Item] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 1
        self.is_silent = False
        self.lost_responses = 0
        self.tokens: dict[str, int] = {}
        self.promote: Callable[[str, str], int] = lambda service, member: 409
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Start to listen and to expire leases."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        task = asyncio.create_task(self.expire_leases())
        self.tasks.add(task)

    async def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return the revision, which acknowledges the change."""
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known is not None else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self.record(self.describe(key))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.record({"key": key, "revision": self.revision, "tombstone": True})

    def record(self, event: dict[str, Any]) -> None:
        """Add an event to the history and wake the watches."""
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def describe(self, key: str) -> dict[str, Any]:
        """Return an item as it is sent."""
        item = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "createdRev": item.created,
            "lease": item.lease,
        }

    async def expire_leases(self) -> None:
        """Remove the keys of leases that have ended."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = time.monotonic()
            for lease in [k for k, (_, end) in self.leases.items() if end < now]:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the calls of one connection."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                data = await reader.readexactly(length) if length else b""
                status, body = await self.answer(method, target, headers, data)
                if self.is_silent:
                    # The response is lost: this connection returns nothing further.
                    self.lost_responses += 1
                    self.log(f"store: response lost: {method} {target.split('&')[0]}")
                    while await reader.read(4096):
                        pass
                    return
                text = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def answer(
        self, method: str, target: str, headers: dict[str, str], data: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Carry out a call; return its status and body."""
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/kv-key":
            if query["key"] not in self.items:
                return 404, {}
            found = self.describe(query["key"])
            return 200, {**found, "currentRev": self.revision}
        if url.path == "/kv-range":
            return self.answer_range(query)
        if url.path == "/kv-watch":
            return await self.answer_watch(query)
        body = json.loads(data) if data else {}
        if url.path == "/kv-txn":
            return self.answer_txn(body)
        if url.path == "/kv-lease":
            self.revision += 1
            ttl_s = body["ttlMs"] / 1000
            self.leases[self.revision] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": self.revision, "ttlMs": body["ttlMs"]}
        if url.path.startswith("/kv-keep/"):
            lease = int(url.path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttlMs": round(ttl_s * 1000)}
        if url.path.startswith("/kv-lease-end/") and method == "DELETE":
            self.end_lease(int(url.path.rpartition("/")[2]))
            return 200, {}
        if url.path == "/promote":
            token = int(headers["x-fencing-token"])
            service, member = body["service"], body["id"]
            if token < self.tokens.get(service, 0):
                return 409, {}
            self.tokens[service] = token
            self.log(f"promote {service} {member} token {token}")
            return self.promote(service, member), {}
        return 404, {}

    def answer_range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Return one page of keys."""
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return 200, {
            "items": [self.describe(key) for key in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "currentRev": self.revision,
        }

    async def answer_watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Return the events after a revision, waiting for the first one."""
        prefix, after = query["prefix"], int(query["after"])
        deadline_s = time.monotonic() + min(30.0, int(query["waitMs"]) / 1000)
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = deadline_s - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                async with asyncio.timeout(remaining_s):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def answer_txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Make a change if all its conditions hold."""
        for row in body["expected"]:
            item = self.items.get(row["key"])
            if (item.revision if item is not None else 0) != row["revision"]:
                return 412, {"items": []}
        for write in body["writes"]:
            if write["lease"] and write["lease"] not in self.leases:
                return 404, {}
        for write in body["writes"]:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write["lease"])
        for key in body["deletes"]:
            self.remove(key)
        return 200, {"revision": self.revision}
