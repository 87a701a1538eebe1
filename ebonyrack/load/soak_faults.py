"""Faults that a soak injects from outside the proxies."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable
from collections.abc import Callable

from ebonyrack.core.registry import Registry
from ebonyrack.load.soak_system import APPLY_DELAY_S
from ebonyrack.load.soak_system import SoakSystem
from ebonyrack.standins.line_upstream import LineUpstream

# Long enough for another upstream to be promoted.
CRASH_DURATION_S = 2.5
# Time for which the store is away before it comes back from a copy.
STORE_AWAY_S = 0.3

Fault = Callable[[SoakSystem, float], Awaitable[None]]

FAULTS: Registry[Fault] = Registry("fault")
# Faults that are injected besides where promotions are not fenced.
UNFENCED_FAULTS: Registry[Fault] = Registry("fault without fencing")


@FAULTS.register("kill_proxy")
async def kill_proxy(system: SoakSystem, duration_s: float) -> None:
    """Kill a proxy, which is then restarted."""
    system.choose_daemon().send_signal(signal.SIGKILL)


@FAULTS.register("end_proxy")
async def end_proxy(system: SoakSystem, duration_s: float) -> None:
    """Shut a proxy down gracefully; it is then restarted."""
    system.choose_daemon().send_signal(signal.SIGTERM)


@FAULTS.register("reload_proxy")
async def reload_proxy(system: SoakSystem, duration_s: float) -> None:
    """Make a proxy reload its settings."""
    system.choose_daemon().send_signal(signal.SIGHUP)


@FAULTS.register("pause_proxy")
async def pause_proxy(system: SoakSystem, duration_s: float) -> None:
    """Suspend a proxy's process for a while."""
    daemon = system.choose_daemon()
    daemon.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(duration_s)
    finally:
        daemon.send_signal(signal.SIGCONT)


@FAULTS.register("delay_link")
async def delay_link(system: SoakSystem, duration_s: float) -> None:
    """Delay the traffic of an upstream."""
    link = system.choose_link()
    link.delay_s = system.random.uniform(0.01, 0.1)
    try:
        await asyncio.sleep(duration_s)
    finally:
        link.delay_s = 0.0


@FAULTS.register("reset_link")
async def reset_link(system: SoakSystem, duration_s: float) -> None:
    """Abort the connections to an upstream."""
    system.choose_link().reset()


@FAULTS.register("silence_link")
async def silence_link(system: SoakSystem, duration_s: float) -> None:
    """Hold back the traffic of an upstream in one direction or both."""
    link = system.choose_link()
    link.holds_requests = system.random.random() < 0.6
    link.holds_replies = not link.holds_requests or system.random.random() < 0.5
    try:
        await asyncio.sleep(duration_s)
    finally:
        link.holds_requests = link.holds_replies = False


@FAULTS.register("crash_upstream")
async def crash_upstream(system: SoakSystem, duration_s: float) -> None:
    """Crash an upstream, which restarts with its log."""
    await crash_and_restart(system.choose_link().upstream, duration_s)


async def crash_and_restart(upstream: LineUpstream, duration_s: float) -> None:
    """Crash an upstream and restart it, unless another fault has crashed it."""
    if upstream.server is None:
        return
    await upstream.stop()
    try:
        await asyncio.sleep(duration_s)
    finally:
        await upstream.start()


@FAULTS.register("deafen_replica")
async def deafen_replica(system: SoakSystem, duration_s: float) -> None:
    """Stop an upstream from receiving log entries for a while."""
    member = system.choose_link().upstream.member
    member.is_replication_blocked = True
    try:
        await asyncio.sleep(duration_s)
    finally:
        member.is_replication_blocked = False


@FAULTS.register("lag_replica")
async def lag_replica(system: SoakSystem, duration_s: float) -> None:
    """Increase the time after which an upstream applies what it receives."""
    member = system.choose_link().upstream.member
    member.apply_delay_s = system.random.uniform(0.1, 1.0)
    try:
        await asyncio.sleep(duration_s)
    finally:
        member.apply_delay_s = APPLY_DELAY_S


@FAULTS.register("crash_primary_beside_deaf_replica")
async def crash_primary_beside_deaf_replica(
    system: SoakSystem, duration_s: float
) -> None:
    """Stop one replica from receiving log entries and crash the primary meanwhile."""
    primary = system.group.primary
    if primary is None:
        return
    replicas = [
        member for member in system.group.members.values() if member is not primary
    ]
    replica = system.random.choice(replicas)
    replica.is_replication_blocked = True
    try:
        await asyncio.sleep(duration_s)
        await crash_and_restart(system.upstreams[primary.member_id], CRASH_DURATION_S)
    finally:
        replica.is_replication_blocked = False


@FAULTS.register("refuse_store")
async def refuse_store(system: SoakSystem, duration_s: float) -> None:
    """Make the store refuse every call."""
    system.service.faults.status = system.random.choice([429, 503])
    try:
        await asyncio.sleep(duration_s)
    finally:
        system.service.faults.status = 0


@FAULTS.register("lose_store_answers")
async def lose_store_answers(system: SoakSystem, duration_s: float) -> None:
    """Make the store lose its replies to some changes that it carries out."""
    system.service.faults.lose_answers += system.random.randint(1, 3)


@FAULTS.register("late_orders")
async def late_orders(system: SoakSystem, duration_s: float) -> None:
    """Make the platform carry out orders late and without a reply."""
    system.service.faults.late_orders_s = system.random.uniform(0.5, 2.0)
    try:
        await asyncio.sleep(duration_s)
    finally:
        system.service.faults.late_orders_s = 0.0


@FAULTS.register("drop_history")
async def drop_history(system: SoakSystem, duration_s: float) -> None:
    """Drop the change history of the store."""
    await system.service.drop_history()


@FAULTS.register("change_routes")
async def change_routes(system: SoakSystem, duration_s: float) -> None:
    """Write a new version of the routes."""
    system.version += system.random.randint(1, 5)
    await system.publish_document(system.build_document(booking={"timeoutMs": 700}))


@UNFENCED_FAULTS.register("restore_store")
async def restore_store(system: SoakSystem, duration_s: float) -> None:
    """Restore the store from a copy; the operators write their newest version again."""
    service = system.service
    if service.copy is not None:
        return
    service.take_copy()
    await asyncio.sleep(duration_s)
    service.faults.status = 503
    await asyncio.sleep(STORE_AWAY_S)
    service.faults.status = 0
    await service.restore_copy()
    await system.publish_document(system.build_document())
    for upstream in system.upstreams.values():
        if upstream.server is not None:
            await system.publish_entry(upstream)


@UNFENCED_FAULTS.register("isolate_primary")
async def isolate_primary(system: SoakSystem, duration_s: float) -> None:
    """Cut the primary off from the other upstreams, but not from the proxies."""
    primary = system.group.primary
    if primary is None:
        return
    system.group.isolated.add(primary.member_id)
    try:
        await asyncio.sleep(CRASH_DURATION_S)
    finally:
        system.group.isolated.discard(primary.member_id)
        current = system.group.primary
        if current is not None:
            system.group.replicate(current)
