"""HTTP interface through which experiments inject faults into a group."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web

from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.core.registry import Registry
from ebonyrack.standins.group import StandinGroup
from ebonyrack.standins.options import UpstreamOptions

SHUTDOWN_TIMEOUT_S = 0.05

FAULTS: Registry[Any] = Registry("fault")


@FAULTS.register("kill")
async def kill(group: StandinGroup, body: dict[str, Any]) -> None:
    """Kill an upstream."""
    await group.kill(body["name"])


@FAULTS.register("restart")
async def restart(group: StandinGroup, body: dict[str, Any]) -> None:
    """Restart an upstream."""
    await group.restart(body["name"])


@FAULTS.register("freeze")
async def freeze(group: StandinGroup, body: dict[str, Any]) -> None:
    """Freeze an upstream."""
    group.freeze(body["name"])


@FAULTS.register("thaw")
async def resume(group: StandinGroup, body: dict[str, Any]) -> None:
    """Resume a frozen upstream."""
    group.resume(body["name"])


@FAULTS.register("cut")
async def cut(group: StandinGroup, body: dict[str, Any]) -> None:
    """Cut the link between two upstreams, or an upstream and the proxies."""
    group.cut(body["source"], body["target"], bool(body.get("one_way", False)))


@FAULTS.register("heal")
async def heal(group: StandinGroup, body: dict[str, Any]) -> None:
    """Heal all cut links."""
    group.heal()


@FAULTS.register("lose_commit_answers")
async def lose_commit_answers(group: StandinGroup, body: dict[str, Any]) -> None:
    """Lose the replies to the next commits."""
    group.lose_commit_answers(body["name"], int(body.get("count", 1)))


@FAULTS.register("leave")
async def leave(group: StandinGroup, body: dict[str, Any]) -> None:
    """Make an upstream report that it is leaving the group."""
    group[body["name"]].leaving = bool(body.get("leaving", True))


@FAULTS.register("options")
async def change_options(group: StandinGroup, body: dict[str, Any]) -> None:
    """Change the limits and delays of one upstream, or of all."""
    names = [body["name"]] if "name" in body else group.names
    for key in body:
        if key != "name" and key not in UpstreamOptions.__slots__:
            raise KeyError(f"unknown option {key!r}")
    for name in names:
        for key, value in body.items():
            if key != "name":
                setattr(group[name].options, key, value)
        if "slots" in body:
            group[name].slots = asyncio.Semaphore(body["slots"])


class FaultControl(Component):
    """Serves `PUT /fault/KIND` with a JSON body, and `GET /status`.

    Attributes:
        group: The group.
        address: Address to listen on; port 0 is replaced at the start.
    """

    __slots__ = ("group", "address", "runner")

    def __init__(self, group: StandinGroup, address: Address) -> None:
        self.group = group
        self.address = address
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start listening."""
        application = web.Application()
        application.add_routes(
            [
                web.put("/fault/{kind}", self.inject),
                web.get("/status", self.report_status),
            ]
        )
        self.runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, self.address.host, self.address.port).start()
        self.address = Address(self.address.host, self.runner.addresses[0][1])

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def inject(self, request: web.Request) -> web.Response:
        """Inject one fault."""
        body = await request.json() if request.can_read_body else {}
        try:
            await FAULTS.get(request.match_info["kind"])(self.group, body)
        except KeyError as error:
            return web.Response(status=400, text=f"{error}\n")
        return web.json_response({})

    async def report_status(self, request: web.Request) -> web.Response:
        """Return the status of each upstream."""
        statuses = {}
        for name, upstream in self.group.upstreams.items():
            status = upstream.read_status()
            statuses[name] = {
                "role": str(status.role),
                "term": status.term,
                "fenced_term": status.fenced_term,
                "received": str(status.received),
                "applied": str(status.applied),
                "is_running": upstream.is_running,
                "sessions": len(upstream.sessions),
            }
        return web.json_response(statuses)
