"""Faults that a soak brings about from outside the proxies."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable
from collections.abc import Callable

from ebonyrack.core.registry import Registry
from ebonyrack.load.soak_system import APPLY_DELAY_S
from ebonyrack.load.soak_system import SoakSystem
from ebonyrack.standins.line_system import build_document
from ebonyrack.standins.line_upstream import LineUpstream

# How long a primary stays down: long enough to be replaced.
CRASH_S = 2.5

Fault = Callable[[SoakSystem, float], Awaitable[None]]

FAULTS: Registry[Fault] = Registry("fault")


@FAULTS.register("kill_proxy")
async def kill_proxy(system: SoakSystem, length_s: float) -> None:
    """Kill a proxy; it starts again."""
    system.draw_daemon().send(signal.SIGKILL)


@FAULTS.register("end_proxy")
async def end_proxy(system: SoakSystem, length_s: float) -> None:
    """Shut a proxy down gracefully; it starts again."""
    system.draw_daemon().send(signal.SIGTERM)


@FAULTS.register("reload_proxy")
async def reload_proxy(system: SoakSystem, length_s: float) -> None:
    """Let a proxy read its settings again."""
    system.draw_daemon().send(signal.SIGHUP)


@FAULTS.register("pause_proxy")
async def pause_proxy(system: SoakSystem, length_s: float) -> None:
    """Stop a proxy for a while and let it go on."""
    daemon = system.draw_daemon()
    daemon.send(signal.SIGSTOP)
    try:
        await asyncio.sleep(length_s)
    finally:
        daemon.send(signal.SIGCONT)


@FAULTS.register("delay_link")
async def delay_link(system: SoakSystem, length_s: float) -> None:
    """Pass bytes of an upstream on late."""
    link = system.draw_link()
    link.delay_s = system.draws.uniform(0.01, 0.1)
    try:
        await asyncio.sleep(length_s)
    finally:
        link.delay_s = 0.0


@FAULTS.register("reset_link")
async def reset_link(system: SoakSystem, length_s: float) -> None:
    """Reset the connections to an upstream."""
    system.draw_link().reset()


@FAULTS.register("silence_link")
async def silence_link(system: SoakSystem, length_s: float) -> None:
    """Hold bytes back, one way or both."""
    link = system.draw_link()
    link.holds_requests = system.draws.random() < 0.6
    link.holds_answers = not link.holds_requests or system.draws.random() < 0.5
    try:
        await asyncio.sleep(length_s)
    finally:
        link.holds_requests = link.holds_answers = False


@FAULTS.register("crash_upstream")
async def crash_upstream(system: SoakSystem, length_s: float) -> None:
    """Crash an upstream that comes back with its log."""
    await crash(system.draw_link().upstream, length_s)


async def crash(upstream: LineUpstream, length_s: float) -> None:
    """Crash an upstream unless another fault has done so; start it again."""
    if upstream.server is None:
        return
    await upstream.stop()
    try:
        await asyncio.sleep(length_s)
    finally:
        await upstream.start()


@FAULTS.register("deafen_replica")
async def deafen_replica(system: SoakSystem, length_s: float) -> None:
    """Let an upstream receive nothing for a while."""
    member = system.draw_link().upstream.member
    member.is_replication_blocked = True
    try:
        await asyncio.sleep(length_s)
    finally:
        member.is_replication_blocked = False


@FAULTS.register("lag_replica")
async def lag_replica(system: SoakSystem, length_s: float) -> None:
    """Let an upstream show what it receives late."""
    member = system.draw_link().upstream.member
    member.apply_delay_s = system.draws.uniform(0.1, 1.0)
    try:
        await asyncio.sleep(length_s)
    finally:
        member.apply_delay_s = APPLY_DELAY_S


@FAULTS.register("crash_primary_beside_deaf_replica")
async def crash_primary_beside_deaf_replica(
    system: SoakSystem, length_s: float
) -> None:
    """Let one replica receive nothing, and crash the primary meanwhile."""
    leader = system.group.primary
    if leader is None:
        return
    others = [each for each in system.group.members.values() if each is not leader]
    deaf = system.draws.choice(others)
    deaf.is_replication_blocked = True
    try:
        await asyncio.sleep(length_s)
        await crash(system.upstreams[leader.member_id], CRASH_S)
    finally:
        deaf.is_replication_blocked = False


@FAULTS.register("refuse_store")
async def refuse_store(system: SoakSystem, length_s: float) -> None:
    """Let the store refuse every call."""
    system.service.faults.status = system.draws.choice([429, 503])
    try:
        await asyncio.sleep(length_s)
    finally:
        system.service.faults.status = 0


@FAULTS.register("lose_store_answers")
async def lose_store_answers(system: SoakSystem, length_s: float) -> None:
    """Make changes and lose their answers."""
    system.service.faults.lose_answers += system.draws.randint(1, 3)


@FAULTS.register("late_orders")
async def late_orders(system: SoakSystem, length_s: float) -> None:
    """Carry orders out late and unanswered."""
    system.service.faults.late_orders_s = system.draws.uniform(0.5, 2.0)
    try:
        await asyncio.sleep(length_s)
    finally:
        system.service.faults.late_orders_s = 0.0


@FAULTS.register("drop_history")
async def drop_history(system: SoakSystem, length_s: float) -> None:
    """Forget the store's history."""
    await system.service.drop_history()


@FAULTS.register("change_routes")
async def change_routes(system: SoakSystem, length_s: float) -> None:
    """Put a new version of the routes."""
    system.version += system.draws.randint(1, 5)
    document = build_document(system.version, booking={"timeoutMs": 700})
    await system.service.put_json("op/config", document)
