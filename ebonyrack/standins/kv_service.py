"""Stand-in for the platform's service: a store with leases, watches and promotions."""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any

from aiohttp import web

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.standins.line_group import LineGroup

EXPIRY_INTERVAL_S = 0.02
PAGE_ITEMS = 3
MS_PER_S = 1000
# Leases have numbers of 64 bits.
FIRST_LEASE = 1 << 62


@dataclass(slots=True)
class KvFaults:
    """Faults of the service.

    Attributes:
        status: HTTP status with which every call is rejected, or 0.
        lose_answers: Number of further changes that take effect without a reply.
        lose_watch_answers: Prefixes whose next watch gets no reply, while its
            connection stays open.
        late_orders_s: Delay in seconds after which promotion orders are carried out
            without a reply; 0 for none.
    """

    status: int = 0
    lose_answers: int = 0
    lose_watch_answers: set[str] = field(default_factory=set)
    late_orders_s: float = 0.0


@dataclass(slots=True)
class KvItem:
    """A key with its value."""

    value: bytes
    revision: int
    created_revision: int
    lease: int


@dataclass(slots=True)
class KvLease:
    """A lease: its time to live and the monotonic time at which it expires."""

    ttl_s: float
    expires_at_s: float


@dataclass(slots=True)
class StoreCopy:
    """Copy of the store: items by key, leases by number and the revision."""

    items: dict[str, KvItem]
    leases: dict[int, KvLease]
    revision: int


class KvService(Component):
    """The platform's HTTP service: an async context manager.

    Attributes:
        groups: Database groups that accept promotion orders, by name.
        address: Address to listen on; port 0 is replaced at the first start.
        items: Items by key.
        events: Changes of the kept history, in order.
        compacted_revision: Revision up to which the history was dropped.
        faults: Injected faults.
        requires_fencing: Whether orders with a token below the highest are refused.
        tokens: Highest fencing token seen for each group.
        lower_tokens: Tokens of orders that came after a higher one.
        accepted_orders: Group, upstream and token of each accepted order.
        promotion_duration_s: Duration of a promotion, in seconds.
        calls: Path of each call, in order.
        stale_reads: Number of reads that accepted stale data.
        era: Number that rises each time the store is restored from a copy; 0 for a
            store that doesn't report it.
        copy: The copy from which it will be restored, or None.
    """

    def __init__(self, groups: dict[str, LineGroup], era: int = 0) -> None:
        self.groups = groups
        self.address = Address("127.0.0.1", 0)
        self.items: dict[str, KvItem] = {}
        self.leases: dict[int, KvLease] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 1
        self.compacted_revision = 0
        self.faults = KvFaults()
        self.requires_fencing = True
        self.tokens: dict[str, int] = {}
        self.lower_tokens: list[int] = []
        self.accepted_orders: list[tuple[str, str, int]] = []
        self.promotion_duration_s = 0.05
        self.calls: list[str] = []
        self.stale_reads = 0
        self.era = era
        self.copy: StoreCopy | None = None
        self.changed = asyncio.Condition()
        self.tasks: set[asyncio.Task[None]] = set()
        self.runner: web.AppRunner | None = None
        self.expiry_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start listening."""
        app = web.Application(middlewares=[self.apply_faults])
        app.router.add_get("/kv-key", self.get_key)
        app.router.add_get("/kv-range", self.get_range)
        app.router.add_get("/kv-watch", self.get_watch)
        app.router.add_post("/kv-txn", self.post_transaction)
        app.router.add_post("/kv-lease", self.post_lease)
        app.router.add_post("/kv-keep/{lease}", self.post_keep)
        app.router.add_post("/promote", self.post_promote)
        self.runner = web.AppRunner(app, shutdown_timeout=0.05)
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.address.host, self.address.port)
        await site.start()
        port = self.runner.addresses[0][1]
        self.address = Address(self.address.host, port)
        self.expiry_task = asyncio.create_task(self.expire_leases())

    async def stop(self) -> None:
        """Stop listening; the keys stay."""
        await end_tasks([self.expiry_task, *self.tasks])
        if self.runner is not None:
            await self.runner.cleanup()

    @web.middleware
    async def apply_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Reject a call, or drop the reply to a change."""
        self.calls.append(request.path)
        if self.faults.status:
            return web.json_response({}, status=self.faults.status)
        response: web.StreamResponse = await handler(request)
        if self.era:
            response.headers["Store-Era"] = str(self.era)
        if request.path == "/kv-txn" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        prefix = request.query.get("prefix", "")
        if request.path == "/kv-watch" and prefix in self.faults.lose_watch_answers:
            self.faults.lose_watch_answers.discard(prefix)
            await asyncio.Event().wait()
        return response

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key unconditionally, as operators and upstreams do."""
        self.revision += 1
        existing = self.items.get(key)
        created = existing.created_revision if existing is not None else self.revision
        self.items[key] = KvItem(value, self.revision, created, lease)
        await self.record_event(describe_item(key, self.items[key]))
        return self.revision

    async def put_json(self, key: str, body: dict[str, Any]) -> int:
        """Write a key whose value is JSON."""
        return await self.put(key, json.dumps(body).encode())

    async def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "tombstone": True}
            await self.record_event(event)

    async def record_event(self, event: dict[str, Any]) -> None:
        """Add a change to the history and wake the watches."""
        self.events.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def drop_history(self) -> None:
        """Drop the history, so that watches from earlier revisions fail."""
        self.compacted_revision = self.revision
        self.events.clear()
        async with self.changed:
            self.changed.notify_all()

    def take_copy(self) -> None:
        """Copy the store, to restore it later."""
        items = {key: replace(item) for key, item in self.items.items()}
        leases = {number: replace(lease) for number, lease in self.leases.items()}
        self.copy = StoreCopy(items, leases, self.revision)

    async def restore_copy(self) -> None:
        """Restore the store from its copy; what was written since is gone."""
        assert self.copy is not None
        self.items, self.leases = self.copy.items, self.copy.leases
        self.revision = self.copy.revision
        self.compacted_revision = 0
        self.events = [
            event for event in self.events if event["revision"] <= self.revision
        ]
        self.era += 1
        self.copy = None

    async def expire_leases(self) -> None:
        """Delete expired leases and their keys periodically, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = now_s()
            expired = [
                lease_id
                for lease_id, lease in self.leases.items()
                if lease.expires_at_s < now
            ]
            for lease_id in expired:
                del self.leases[lease_id]
                for key in [
                    k for k, item in self.items.items() if item.lease == lease_id
                ]:
                    await self.remove(key)

    async def get_key(self, request: web.Request) -> web.Response:
        """Return one key."""
        key = request.query["key"]
        item = self.items.get(key)
        if item is None:
            return web.json_response({}, status=404)
        return web.json_response(
            {**describe_item(key, item), "currentRev": self.revision}
        )

    async def get_range(self, request: web.Request) -> web.Response:
        """Return one page of keys."""
        prefix, after = request.query["prefix"], request.query.get("after", "")
        self.stale_reads += request.query.get("serializable") == "1"
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [describe_item(key, self.items[key]) for key in keys[:PAGE_ITEMS]]
        return web.json_response(
            {
                "items": page,
                "truncated": len(keys) > PAGE_ITEMS,
                "currentRev": self.revision,
            }
        )

    async def get_watch(self, request: web.Request) -> web.Response:
        """Return the changes after a revision; wait if there are none yet."""
        prefix, after = request.query["prefix"], int(request.query["after"])
        deadline_s = now_s() + int(request.query["waitMs"]) / MS_PER_S
        while True:
            if after < self.compacted_revision or after > self.revision:
                return web.json_response({}, status=410)
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events or now_s() >= deadline_s:
                return web.json_response(
                    {"events": events, "currentRev": self.revision}
                )
            async with self.changed:
                try:
                    async with asyncio.timeout(deadline_s - now_s()):
                        await self.changed.wait()
                except TimeoutError:
                    continue

    async def post_transaction(self, request: web.Request) -> web.Response:
        """Apply writes and deletions if all expected revisions match."""
        body = await request.json()
        for condition in body["expected"]:
            item = self.items.get(condition["key"])
            if (item.revision if item is not None else 0) != condition["revision"]:
                return web.json_response({"items": []}, status=412)
        for write in body["writes"]:
            if write["lease"] and write["lease"] not in self.leases:
                return web.json_response({}, status=404)
        for write in body["writes"]:
            value = base64.b64decode(write["value"])
            await self.put(write["key"], value, write["lease"])
        for key in body["deletes"]:
            await self.remove(key)
        return web.json_response({"revision": self.revision})

    async def post_lease(self, request: web.Request) -> web.Response:
        """Grant a lease."""
        ttl_ms = (await request.json())["ttlMs"]
        self.revision += 1
        ttl_s = ttl_ms / MS_PER_S
        lease = FIRST_LEASE + self.revision
        self.leases[lease] = KvLease(ttl_s, now_s() + ttl_s)
        return web.json_response({"lease": lease, "ttlMs": ttl_ms})

    async def post_keep(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        lease = self.leases.get(int(request.match_info["lease"]))
        if lease is None:
            return web.json_response({}, status=404)
        lease.expires_at_s = now_s() + lease.ttl_s
        return web.json_response({"ttlMs": round(lease.ttl_s * MS_PER_S)})

    async def post_promote(self, request: web.Request) -> web.Response:
        """Accept an order to promote an upstream."""
        body = await request.json()
        token = int(request.headers["X-Fencing-Token"])
        name, member_id = body["service"], body["id"]
        if self.faults.late_orders_s:
            self.schedule_order(name, member_id, token, self.faults.late_orders_s)
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        if not self.accept_token(name, token):
            return web.json_response({}, status=409)
        self.accepted_orders.append((name, member_id, token))
        self.schedule_order(name, member_id, token, self.promotion_duration_s)
        return web.json_response({})

    def accept_token(self, group: str, token: int) -> bool:
        """Return whether an order is carried out, and record its token."""
        if token < self.tokens.get(group, 0):
            self.lower_tokens.append(token)
            return not self.requires_fencing
        self.tokens[group] = token
        return True

    def schedule_order(
        self, group: str, member_id: str, token: int, delay_s: float
    ) -> None:
        """Carry out an order after a delay, if no higher token was seen by then."""

        async def carry_out() -> None:
            await asyncio.sleep(delay_s)
            if self.accept_token(group, token):
                self.groups[group].promote(member_id)

        task = asyncio.create_task(carry_out())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def describe_item(key: str, item: KvItem) -> dict[str, Any]:
    """Build the JSON form of an item."""
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "createdRev": item.created_revision,
        "lease": item.lease,
    }
