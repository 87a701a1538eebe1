"""Stand-in for the platform: Consul-style key-value service and VM list over HTTP."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from aiohttp import web

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.standins.key_value import MAXIMUM_VALUE_BYTES
from ebonyrack.standins.key_value import KeyValueState
from ebonyrack.standins.key_value import Node
from ebonyrack.standins.platform_calls import abort_connection
from ebonyrack.standins.platform_calls import build_bool_response
from ebonyrack.standins.platform_calls import classify_call
from ebonyrack.standins.platform_calls import describe_entry
from ebonyrack.standins.platform_calls import describe_node
from ebonyrack.standins.platform_calls import parse_blocking_query
from ebonyrack.standins.platform_calls import parse_duration

DEFAULT_LOCK_DELAY_S = 15.0
EXPIRY_INTERVAL_S = 0.05
SHUTDOWN_TIMEOUT_S = 0.05
FAULT_NAMES = ("is_down", "delay_s", "lose_answers", "stale_reads")

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StandinPlatform(Component):
    """The platform's HTTP service, with faults. Its state survives stop and start.

    Attributes:
        address: Address to listen on; port 0 is replaced at the first start.
        state: Keys, sessions and VM list.
        calls: Number of calls by kind; a waiting watch counts as one.
        is_down: Whether every call's connection is aborted without effect.
        delay_s: Delay before each call takes effect, in seconds.
        lose_answers: Number of further changes that take effect without a reply.
        stale_reads: Number of further reads that return the previous value.
    """

    __slots__ = (
        "address",
        "state",
        "calls",
        "is_down",
        "delay_s",
        "lose_answers",
        "stale_reads",
        "runner",
        "expiry_task",
    )

    def __init__(self, address: Address | None = None) -> None:
        self.address = address or Address("127.0.0.1", 0)
        self.state = KeyValueState()
        self.calls: Counter[str] = Counter()
        self.is_down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.stale_reads = 0
        self.runner: web.AppRunner | None = None
        self.expiry_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start listening."""
        self.runner = web.AppRunner(
            self.build_application(),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.address.host, self.address.port)
        await site.start()
        self.address = Address(self.address.host, self.runner.addresses[0][1])
        self.expiry_task = asyncio.create_task(self.expire_sessions())

    async def stop(self) -> None:
        """Stop listening and close open connections."""
        runner, self.runner = self.runner, None
        task, self.expiry_task = self.expiry_task, None
        await end_tasks([task])
        if runner is not None:
            await runner.cleanup()

    async def expire_sessions(self) -> None:
        """End expired sessions periodically, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.state.expire_sessions()

    def build_application(self) -> web.Application:
        """Build the web application with its routes."""
        application = web.Application(
            client_max_size=MAXIMUM_VALUE_BYTES, middlewares=[self.inject_faults]
        )
        application.add_routes(
            [
                web.get("/v1/kv/{key:.+}", self.get_key),
                web.put("/v1/kv/{key:.+}", self.put_key),
                web.delete("/v1/kv/{key:.+}", self.delete_key),
                web.put("/v1/session/create", self.create_session),
                web.put("/v1/session/renew/{id}", self.renew_session),
                web.put("/v1/session/destroy/{id}", self.destroy_session),
                web.get("/v1/catalog/nodes", self.list_nodes),
                web.put("/standin/nodes", self.set_nodes),
                web.put("/standin/faults", self.set_faults),
                web.get("/standin/calls", self.list_calls),
            ]
        )
        return application

    @web.middleware
    async def inject_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Count a call and apply the faults to it."""
        if request.path.startswith("/standin/"):
            return await handler(request)
        self.calls[classify_call(request)] += 1
        if self.is_down:
            return abort_connection(request)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        response = await handler(request)
        if self.is_down:
            return abort_connection(request)
        if request.method != "GET" and self.lose_answers:
            self.lose_answers -= 1
            return abort_connection(request)
        return response

    async def wait_for_change(
        self, request: web.Request, read_index: Callable[[], int]
    ) -> None:
        """Wait until the index of a blocking query is passed or its wait times out."""
        query = parse_blocking_query(request)
        deadline_s = now_s() + query.wait_s
        while query.index and read_index() <= query.index and not self.is_down:
            try:
                async with asyncio.timeout(deadline_s - now_s()):
                    await self.state.changed.wait()
            except TimeoutError:
                return

    async def get_key(self, request: web.Request) -> web.Response:
        """Return a key, or 404, both with its index."""
        key = request.match_info["key"]
        await self.wait_for_change(request, lambda: self.state.key_index(key))
        entry = self.state.entries.get(key)
        index = self.state.key_index(key)
        if self.stale_reads and entry is not None:
            self.stale_reads -= 1
            entry = entry.previous
            index = entry.modify_index if entry else 1
        headers = {"X-Consul-Index": str(index)}
        if entry is None:
            return web.Response(status=404, headers=headers)
        return web.json_response([describe_entry(key, entry)], headers=headers)

    async def put_key(self, request: web.Request) -> web.Response:
        """Set a key unconditionally or by compare-and-swap, acquire or release."""
        key, query = request.match_info["key"], request.query
        value = await request.read()
        flags = int(query.get("flags", "0"))
        if "acquire" in query:
            try:
                done = self.state.acquire(key, value, query["acquire"], flags)
            except KeyError:
                return web.Response(status=500, text="invalid session")
        elif "release" in query:
            done = self.state.release(key, value, query["release"], flags)
        else:
            cas = int(query["cas"]) if "cas" in query else None
            done = self.state.put(key, value, cas, flags)
        return build_bool_response(done)

    async def delete_key(self, request: web.Request) -> web.Response:
        """Delete a key."""
        cas = int(request.query["cas"]) if "cas" in request.query else None
        return build_bool_response(self.state.delete(request.match_info["key"], cas))

    async def create_session(self, request: web.Request) -> web.Response:
        """Create a session."""
        body: dict[str, Any] = await request.json() if request.can_read_body else {}
        session_id = self.state.create_session(
            parse_duration(str(body.get("TTL") or "0s")),
            str(body.get("Behavior") or "release"),
            parse_duration(str(body.get("LockDelay", DEFAULT_LOCK_DELAY_S))),
            str(body.get("Name", "")),
        )
        return web.json_response({"ID": session_id})

    async def renew_session(self, request: web.Request) -> web.Response:
        """Restart the time to live of a session."""
        session_id = request.match_info["id"]
        session = self.state.renew_session(session_id)
        if session is None:
            return web.Response(status=404, text="session not found")
        return web.json_response([{"ID": session_id, "TTL": f"{session.ttl_s}s"}])

    async def destroy_session(self, request: web.Request) -> web.Response:
        """End a session."""
        self.state.destroy_session(request.match_info["id"])
        return build_bool_response(True)

    async def list_nodes(self, request: web.Request) -> web.Response:
        """Return the VM list."""
        await self.wait_for_change(request, lambda: self.state.nodes_index)
        nodes = [describe_node(node) for node in self.state.nodes]
        headers = {"X-Consul-Index": str(self.state.nodes_index)}
        return web.json_response(nodes, headers=headers)

    async def set_nodes(self, request: web.Request) -> web.Response:
        """Replace the VM list; the platform itself has no such call."""
        nodes = [Node(**item) for item in await request.json()]
        self.state.set_nodes(nodes)
        return build_bool_response(True)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set faults; the platform itself has no such call."""
        for name, value in (await request.json()).items():
            if name not in FAULT_NAMES:
                return web.Response(status=400, text=f"unknown fault {name!r}")
            setattr(self, name, value)
        self.state.changed.set()
        self.state.changed = asyncio.Event()
        return build_bool_response(True)

    async def list_calls(self, request: web.Request) -> web.Response:
        """Return the number of calls by kind; the platform itself has no such call."""
        return web.json_response(dict(self.calls))
