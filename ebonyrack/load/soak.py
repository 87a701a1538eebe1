"""Runs real proxies as processes under random faults and checks their guarantees."""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

from ebonyrack.core.clock import now_s
from ebonyrack.core.tasks import end_tasks
from ebonyrack.load.soak_accounts import ACCOUNTS
from ebonyrack.load.soak_accounts import APPLY_LIMIT_S
from ebonyrack.load.soak_accounts import LASTING_KEY
from ebonyrack.load.soak_caller import SoakCaller
from ebonyrack.load.soak_daemon import SoakDaemon
from ebonyrack.load.soak_faults import FAULTS
from ebonyrack.load.soak_faults import UNFENCED_FAULTS
from ebonyrack.load.soak_faults import Fault
from ebonyrack.load.soak_system import SoakOptions
from ebonyrack.load.soak_system import SoakSystem
from ebonyrack.standins.line_group import StatementRecord
from ebonyrack.standins.line_system import LineCaller

# Pauses between the starts of two faults; faults last longer, so they overlap.
FAULT_PAUSES_S = (0.1, 0.8)
# Pauses between replacements of an account's key.
KEY_PAUSES_S = (0.2, 1.0)
FAULT_DURATIONS_S = (0.2, 2.0)
# All proxies serve writes within this time after the last fault. It covers the time
# until the store is stable, a promotion and a restart, also on a busy machine.
RECOVERY_LIMIT_S = 15.0
STABILIZATION_S = 3.0


async def run_soak(options: SoakOptions) -> dict[str, object]:
    """Run one soak test.

    Args:
        options: Seed and size of the soak.

    Returns:
        Counts of requests, promotions and injected faults; `faults` lists every
        violated guarantee.
    """
    with tempfile.TemporaryDirectory(prefix="ebonyrack-soak-") as folder:
        async with SoakSystem(options, Path(folder)) as system:
            await wait_for_recovery(system)
            await asyncio.sleep(STABILIZATION_S)
            callers = [
                SoakCaller(
                    number, system.daemons, options.seed, system.sent, system.accounts
                )
                for number in range(options.callers)
            ]
            tasks = [asyncio.create_task(caller.run()) for caller in callers]
            replacement = asyncio.create_task(replace_keys(system))
            injected = await inject_faults(system)
            await end_tasks([replacement])
            unrecovered = await wait_for_recovery(system)
            await withdraw_keys(system)
            await end_tasks(tasks)
            return build_report(system, callers, injected, unrecovered)


async def replace_keys(system: SoakSystem) -> None:
    """Replace a key of some account now and then, until cancelled."""
    # Draws of its own leave the faults of a seed as they are without accounts.
    choices = random.Random(system.options.seed)
    while system.accounts is not None:
        await asyncio.sleep(choices.uniform(*KEY_PAUSES_S))
        await system.replace_key(choices.choice(ACCOUNTS))


async def withdraw_keys(system: SoakSystem) -> None:
    """Withdraw a key of each account once all proxies have recovered."""
    if system.accounts is None:
        return
    system.accounts.recovered_s = now_s()
    for account in ACCOUNTS:
        await system.replace_key(account)
    await asyncio.sleep(APPLY_LIMIT_S + STABILIZATION_S)


async def inject_faults(system: SoakSystem) -> Counter[str]:
    """Inject random, overlapping faults.

    Returns:
        How often each fault was injected.
    """
    injected: Counter[str] = Counter()
    faults = dict(FAULTS.entries)
    if not system.options.is_promotion_fenced:
        faults |= UNFENCED_FAULTS.entries
    deadline_s = now_s() + system.options.duration_s
    async with AsyncExitStack() as stack:
        group = await stack.enter_async_context(asyncio.TaskGroup())
        while now_s() < deadline_s:
            await asyncio.sleep(system.random.uniform(*FAULT_PAUSES_S))
            name = system.random.choice(sorted(faults))
            injected[name] += 1
            duration_s = system.random.uniform(*FAULT_DURATIONS_S)
            group.create_task(run_fault(faults[name], system, duration_s))
    return injected


async def run_fault(fault: Fault, system: SoakSystem, duration_s: float) -> None:
    """Inject one fault."""
    await fault(system, duration_s)


async def wait_for_recovery(system: SoakSystem) -> list[str]:
    """Wait until each proxy serves writes; return the names of those that don't."""
    unrecovered = []
    for daemon in system.daemons:
        deadline_s = now_s() + RECOVERY_LIMIT_S
        while not await serves_write(system, daemon):
            if now_s() > deadline_s:
                unrecovered.append(daemon.name)
                break
            await asyncio.sleep(0.1)
    return unrecovered


async def serves_write(system: SoakSystem, daemon: SoakDaemon) -> bool:
    """Return whether a proxy serves a write."""
    text = f"WRITE recovery-{daemon.name} x"
    try:
        async with asyncio.timeout(2.0):
            async with LineCaller(daemon.address, "booking", LASTING_KEY) as caller:
                try:
                    reply = await caller.execute(text)
                finally:
                    system.sent[caller.request_id] = text
                return bool(reply) and reply[0].startswith("COMPLETE")
    except (OSError, TimeoutError):
        return False


def find_unasked(records: list[StatementRecord], sent: dict[str, str]) -> list[str]:
    """Describe the statements that ran and that no caller sent, or not with this text.

    Args:
        records: Statements that upstreams have run.
        sent: Text of each statement that was sent, by its ID.
    """
    return [
        f"ran {record.text!r} as {record.request_id!r}, but nobody sent that"
        for record in records
        # Proxies send their own statements without an ID.
        if record.request_id != "-" and sent.get(record.request_id) != record.text
    ]


def build_report(
    system: SoakSystem,
    callers: list[SoakCaller],
    injected: Counter[str],
    unrecovered: list[str],
) -> dict[str, object]:
    """Compare the primary's log with the replies that the callers received."""
    violations = [text for caller in callers for text in caller.ledger.violations]
    violations += [f"{name} did not recover" for name in unrecovered]
    violations += find_unasked(system.group.records, system.sent)
    if system.accounts is not None:
        violations += system.accounts.find_violations(system.group.records)
    primary = system.group.primary
    stored = Counter(
        data
        for entry in (primary.log if primary is not None else [])
        for item, data in entry.writes
        if item.startswith("item")
    )
    for caller in callers:
        ledger = caller.ledger
        violations += [
            f"lost {value!r}" for value in ledger.acknowledged if not stored[value]
        ]
        violations += [
            f"refused, but stored: {value!r}" for value in ledger.refused & set(stored)
        ]
    violations += [f"doubled {value!r}" for value, count in stored.items() if count > 1]
    return {
        "seed": system.options.seed,
        "served": sum(caller.ledger.served for caller in callers),
        "acknowledged": sum(len(caller.ledger.acknowledged) for caller in callers),
        "unknown": sum(len(caller.ledger.unknown) for caller in callers),
        "refused": sum(len(caller.ledger.refused) for caller in callers),
        "promotions": len(system.group.promotions),
        "withdrawn": len(system.accounts.withdrawn_s) if system.accounts else 0,
        "starts": sum(daemon.start_count for daemon in system.daemons),
        "injected": dict(sorted(injected.items())),
        "faults": violations,
    }
