"""Injects each fault at each step of a read, a write and a transaction of a route.

If EBONYRACK_FAULT_TABLE names a file, each cell appends a line with its result.
"""

import asyncio
import os

import pytest

from ebonyrack.standins.line_system import LineSystem

ITEM = "slot-1"
DATA = "mali"
WRITE = f"WRITE {ITEM} {DATA}"
# Codes that promise that nothing of the operation was kept.
NOT_RUN_CODES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"}
OPERATIONS = {
    "read of a stated age": ("calendar", [f"READ {ITEM}"]),
    "strict read": ("booking", [f"READ {ITEM}"]),
    "write": ("booking", [WRITE]),
    "transaction": ("booking", ["BEGIN", f"READ {ITEM}", WRITE, "COMMIT"]),
    "read-only transaction": ("calendar", ["BEGIN READ", f"READ {ITEM}", "COMMIT"]),
}
CELLS = [
    (kind, step)
    for kind, (_, texts) in OPERATIONS.items()
    for step in range(len(texts))
]
FAULTS = {}


def register_fault(inject):
    FAULTS[inject.__name__] = inject
    return inject


@register_fault
async def answer_lost(system, upstream):
    upstream.faults.lose_answers = 1


@register_fault
async def answer_suppressed(system, upstream):
    upstream.faults.suppress_answers = 1


@register_fault
async def rejected_as_busy(system, upstream):
    upstream.faults.rejections = ["BUSY"]


@register_fault
async def failed(system, upstream):
    upstream.faults.rejections = ["FAILED"]


@register_fault
async def silent(system, upstream):
    upstream.faults.is_silent = True


@register_fault
async def killed_before(system, upstream):
    await upstream.stop()


@register_fault
async def killed_while_running(system, upstream):
    upstream.faults.delay_s = 0.1

    async def kill_later():
        await asyncio.sleep(0.05)
        await upstream.stop()

    system.group.start_task(kill_later())


@register_fault
async def replaced_by_another(system, upstream):
    system.group.promote("up-2")


@register_fault
async def store_down(system, upstream):
    await system.service.stop()


@pytest.fixture(params=[True, False], ids=["fenced", "unfenced"])
async def system(request):
    async with LineSystem(is_promotion_fenced=request.param) as running:
        await running.group.commit(running.group.primary, (("slot-0", "aroon"),))
        yield running


def classify(answer):
    """Return what an answer tells of the operation."""
    if not answer:
        return "unknown"
    words = answer[0].split()
    if words[0] != "ERROR":
        return "ok"
    if words[1] in NOT_RUN_CODES:
        return "no"
    return "failed" if words[1] == "FAILED" else "unknown"


async def run_operation(system, connect, kind, step, inject):
    """Run an operation with a fault at a step; return what its last answer tells."""
    database, texts = OPERATIONS[kind]
    caller = await connect(database)
    for index, text in enumerate(texts):
        if index == step:
            await inject(system, system.upstreams["up-1"])
        answer = await caller.execute(text)
        outcome = classify(answer)
        if outcome != "ok":
            # Nothing is committed unless the last statement was sent.
            is_last = index == len(texts) - 1
            return outcome if is_last or outcome != "unknown" else "no"
    return outcome


def count_writes(system):
    """Return how often the write is in the newest primary's log."""
    log = system.group.primary.log if system.group.primary is not None else []
    return sum((ITEM, DATA) in entry.writes for entry in log)


def record_cell(kind, step, fault, outcome, count):
    path = os.environ.get("EBONYRACK_FAULT_TABLE")
    if path:
        text = OPERATIONS[kind][1][step].split()[0]
        with open(path, "a", encoding="utf-8") as table:
            table.write(f"| route: {kind} | {text} | {fault} | {outcome} | {count} |\n")


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize(("kind", "step"), CELLS)
async def test_outcome_is_true_and_the_proxy_goes_on(
    system, connect, kind, step, fault
):
    outcome = await run_operation(system, connect, kind, step, FAULTS[fault])
    upstream = system.upstreams["up-1"]
    upstream.faults.is_silent = False
    upstream.faults.delay_s = 0.0
    count = count_writes(system)
    writes = any(text == WRITE for text in OPERATIONS[kind][1])
    assert count <= 1
    if writes:
        assert outcome != "ok" or count == 1
        assert outcome != "no" or count == 0
    assert system.group.find_lost_entries() == []
    record_cell(kind, step, fault, outcome, count)
    # The process serves others after the fault.
    reader = await connect("calendar")
    async with asyncio.timeout(8.0):
        while classify(await reader.execute("READ slot-2")) != "ok":
            await asyncio.sleep(0.05)
