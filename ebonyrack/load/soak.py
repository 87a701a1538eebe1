"""Runs real proxies as processes under random faults and checks their promises."""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

from ebonyrack.core.clock import now_s
from ebonyrack.core.tasks import end_tasks
from ebonyrack.load.soak_caller import SoakCaller
from ebonyrack.load.soak_daemon import SoakDaemon
from ebonyrack.load.soak_faults import FAULTS
from ebonyrack.load.soak_faults import Fault
from ebonyrack.load.soak_system import SoakOptions
from ebonyrack.load.soak_system import SoakSystem
from ebonyrack.standins.line_system import LineCaller

# Between two faults, in seconds; they last longer, so that they overlap.
FAULT_PAUSES_S = (0.1, 0.8)
FAULT_LENGTHS_S = (0.2, 2.0)
# All proxies serve writes within this time after the last fault: the store's settling
# time, one promotion and a restart, with room for a busy machine.
RECOVERY_S = 15.0
SETTLE_S = 3.0


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
                answer = await caller.execute(f"WRITE recovery-{daemon.name} x")
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
    leader = system.group.primary
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
