"""Statements reach upstreams on connections of their caller's account."""

import asyncio

from ebonyrack.standins.line_system import build_document
from ebonyrack.standins.line_system import require_accounts

KEYS = {name: [f"key-{name}"] for name in ("haulier", "buyer", "clerk", "agent")}
TEXTS = (
    "READ slot-1",
    "WRITE slot-1 mali",
    "BEGIN",
    "READ slot-2",
    "WRITE slot-2 fadia",
    "COMMIT",
    "BEGIN READ",
    "READ slot-3",
    "ROLLBACK",
)


async def test_statements_run_on_connections_of_their_account(system, connect):
    await system.change_document(require_accounts(build_document(2), KEYS))
    callers = {name: await connect("booking", key=f"key-{name}") for name in KEYS}
    for _ in range(3):
        for text in TEXTS:
            for caller in callers.values():
                (*_, ready) = await caller.execute(text)
                assert ready.startswith("READY")
    accounts = {f"{caller.number:x}-": name for name, caller in callers.items()}
    counted = 0
    for record in system.group.records:
        for prefix, name in accounts.items():
            if record.request_id.startswith(prefix):
                assert record.account == name
                counted += 1
    assert counted >= 3 * 4 * 6
    for record in system.group.records:
        assert "key-" not in record.account


async def test_waiting_write_of_a_caller_that_left_is_not_run(system, connect):
    await system.change_document(require_accounts(build_document(2), KEYS))
    (group,) = system.proxies[0].proxy.services.groups.values()
    staying = await connect("booking", key="key-haulier")
    leaving = await connect("booking", key="key-buyer")
    group.members["up-1"].pool.resize(1)
    system.upstreams["up-1"].faults.delay_s = 0.15
    first = asyncio.create_task(staying.execute("WRITE slot-1 mali"))
    await asyncio.sleep(0.03)
    second = asyncio.create_task(leaving.execute("WRITE slot-2 fadia"))
    await asyncio.sleep(0.03)
    assert group.members["up-1"].pool.queue.count_waiting("buyer") == 1
    await leaving.stop()
    assert (await first)[0].startswith("COMPLETE")
    assert (await staying.execute("WRITE slot-3 mali"))[0].startswith("COMPLETE")
    await second
    texts = {record.text for record in system.group.records}
    assert "WRITE slot-2 fadia" not in texts
    assert {"WRITE slot-1 mali", "WRITE slot-3 mali"} <= texts
