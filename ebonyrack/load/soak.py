"""Runs real proxies as processes under random faults and checks their promises."""

from __future__ import annotations

import asyncio
import random
import signal
import tempfile
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

from ebonyrack.core.clock import now_s
from ebonyrack.core.registry import Registry
from ebonyrack.core.tasks import end_tasks
from ebonyrack.load.fault_link import FaultLink
from ebonyrack.load.soak_caller import SoakCaller
from ebonyrack.load.soak_daemon import SoakDaemon
from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import LineSystem
from ebonyrack.standins.line_system import build_document
from ebonyrack.standins.line_upstream import LineUpstream

# Between two faults, in seconds; they last longer, so that they overlap.
FAULT_PAUSES_S = (0.1, 0.8)
FAULT_LENGTHS_S = (0.2, 2.0)
# All proxies serve writes within this time after the last fault: the store's settling
# time, one promotion and a restart, with room for a busy machine.
RECOVERY_S = 15.0
SETTLE_S = 3.0
# How late replicas show what they receive when nothing is wrong, in seconds.
APPLY_DELAY_S = 0.02
# How long a primary stays down: long enough to be replaced.
CRASH_S = 2.5


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """What a soak does.

    Attributes:
        seed: Seed of every random choice.
        duration_s: Seconds of faults.
        proxies: Proxy processes.
        callers: Callers.
    """

    seed: int
    duration_s: float
    proxies: int = 3
    callers: int = 8


class SoakSystem(LineSystem):
    """Stand-ins of the platform, with a loopback proxy before each upstream.

    Attributes:
        options: What the soak does.
        links: Loopback proxy by upstream.
        daemons: The proxy processes.
        draws: Random numbers of the faults.
        version: Version of the newest configuration.
    """

    def __init__(self, options: SoakOptions, folder: Path) -> None:
        super().__init__(proxy_count=0)
        self.options = options
        self.folder = folder
        self.links = {
            member_id: FaultLink(upstream)
            for member_id, upstream in self.upstreams.items()
        }
        self.daemons: list[SoakDaemon] = []
        self.draws = random.Random(options.seed)
        self.version = 1

    async def start(self) -> None:
        """Start the stand-ins, the loopback proxies and the processes."""
        for member in self.group.members.values():
            member.apply_delay_s = APPLY_DELAY_S
        for link in self.links.values():
            await self.stack.enter_async_context(link)
        await super().start()
        for number in range(self.options.proxies):
            daemon = SoakDaemon(f"proxy-{number}", self.folder, self.service.address)
            self.daemons.append(await self.stack.enter_async_context(daemon))

    async def beat(self, upstream: LineUpstream, **changes: object) -> None:
        """Write an upstream's entry, with the address of its loopback proxy."""
        link = self.links[upstream.member.member_id]
        await super().beat(upstream, address=str(link.address), **changes)

    def draw_link(self) -> FaultLink:
        """Return any loopback proxy."""
        return self.draws.choice(list(self.links.values()))

    def draw_daemon(self) -> SoakDaemon:
        """Return any proxy process."""
        return self.draws.choice(self.daemons)


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
    link = system.draw_link()
    if link.upstream.server is None:
        return
    await link.upstream.stop()
    try:
        await asyncio.sleep(length_s)
    finally:
        await link.upstream.start()


@FAULTS.register("deafen_replica")
async def deafen_replica(system: SoakSystem, length_s: float) -> None:
    """Let an upstream receive nothing for a while."""
    member = system.draw_link().upstream.member
    member.is_deaf = True
    try:
        await asyncio.sleep(length_s)
    finally:
        member.is_deaf = False


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
    leader = system.group.leader
    if leader is None or system.upstreams[leader.member_id].server is None:
        return
    others = [each for each in system.group.members.values() if each is not leader]
    deaf = system.draws.choice(others)
    deaf.is_deaf = True
    try:
        await asyncio.sleep(length_s)
        upstream = system.upstreams[leader.member_id]
        await upstream.stop()
        await asyncio.sleep(CRASH_S)
        await upstream.start()
    finally:
        deaf.is_deaf = False


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


async def run_soak(options: SoakOptions) -> dict[str, object]:
    """Run one soak.

    Args:
        options: What it does.

    Returns:
        What was done and found; `faults` lists every broken promise.
    """
    with tempfile.TemporaryDirectory(prefix="ebonyrack-soak-") as folder:
        async with SoakSystem(options, Path(folder)) as system:
            await recover(system)
            await asyncio.sleep(SETTLE_S)
            callers = [
                SoakCaller(number, system.daemons, options.seed)
                for number in range(options.callers)
            ]
            tasks = [asyncio.create_task(caller.run()) for caller in callers]
            injected = await inject_faults(system)
            unserved = await recover(system)
            await end_tasks(tasks)
            return report(system, callers, injected, unserved)


async def inject_faults(system: SoakSystem) -> Counter[str]:
    """Bring about faults, one after the other and overlapping.

    Returns:
        How often each was brought about.
    """
    injected: Counter[str] = Counter()
    ends_s = now_s() + system.options.duration_s
    async with AsyncExitStack() as stack:
        group = await stack.enter_async_context(asyncio.TaskGroup())
        while now_s() < ends_s:
            await asyncio.sleep(system.draws.uniform(*FAULT_PAUSES_S))
            name = system.draws.choice(sorted(FAULTS.entries))
            injected[name] += 1
            length_s = system.draws.uniform(*FAULT_LENGTHS_S)
            group.create_task(run_fault(FAULTS.get(name), system, length_s))
    return injected


async def run_fault(fault: Fault, system: SoakSystem, length_s: float) -> None:
    """Bring one fault about."""
    await fault(system, length_s)


async def recover(system: SoakSystem) -> list[str]:
    """Wait until each proxy serves a write; return the names of those that don't."""
    unserved = []
    for daemon in system.daemons:
        ends_s = now_s() + RECOVERY_S
        while not await serves_write(daemon):
            if now_s() > ends_s:
                unserved.append(daemon.name)
                break
            await asyncio.sleep(0.1)
    return unserved


async def serves_write(daemon: SoakDaemon) -> bool:
    """Return whether a proxy serves a write now."""
    try:
        async with asyncio.timeout(2.0):
            async with LineCaller(daemon.address, "booking") as caller:
                answer = await caller.ask(f"WRITE recovery-{daemon.name} x")
                return bool(answer) and answer[0].startswith("COMPLETE")
    except (OSError, TimeoutError):
        return False


def report(
    system: SoakSystem,
    callers: list[SoakCaller],
    injected: Counter[str],
    unserved: list[str],
) -> dict[str, object]:
    """Check the group's log against what the callers were told."""
    faults = [fault for caller in callers for fault in caller.ledger.faults]
    faults += [f"{name} did not recover" for name in unserved]
    leader = system.group.leader
    kept = Counter(
        data
        for entry in (leader.log if leader is not None else [])
        for item, data in entry.writes
        if item.startswith("item")
    )
    for caller in callers:
        ledger = caller.ledger
        faults += [f"lost {each}" for each in ledger.acknowledged if not kept[each]]
        faults += [f"refused, but kept: {each}" for each in ledger.refused & set(kept)]
    faults += [f"doubled {value}" for value, count in kept.items() if count > 1]
    return {
        "seed": system.options.seed,
        "served": sum(caller.ledger.served for caller in callers),
        "acknowledged": sum(len(each.ledger.acknowledged) for each in callers),
        "unknown": sum(len(each.ledger.unknown) for each in callers),
        "refused": sum(len(each.ledger.refused) for each in callers),
        "promotions": len(system.group.promotions),
        "starts": sum(daemon.starts for daemon in system.daemons),
        "injected": dict(sorted(injected.items())),
        "faults": faults,
    }
