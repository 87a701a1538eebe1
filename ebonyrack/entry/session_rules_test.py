"""Guarantees of a caller's session, checked over real connections."""

import asyncio

from ebonyrack.placing import position_history
from ebonyrack.standins.line_system import build_document

DONE = "COMPLETE -"


def find_runs(system, text):
    return [each for each in system.group.records if each.text == text]


async def test_write_and_read_back_carry_the_upstream_signature(system, connect):
    caller = await connect("booking")
    assert caller.startup_reply == "READY I -"
    write = await caller.execute("WRITE slot-1 mali")
    read = await caller.execute("READ slot-1")
    assert write[0].startswith("COMPLETE sig")
    assert read[0] == "DATAROW mali"
    signatures = [each.signature for each in system.group.records]
    assert read[1].removeprefix("COMPLETE ") in signatures


async def test_session_reads_its_own_writes_despite_replication_lag(system, connect):
    for member in system.group.members.values():
        member.apply_delay_s = 0.2
    caller = await connect("confirmation")
    for number in range(5):
        await caller.execute(f"WRITE rig-1 v{number}")
        assert (await caller.execute("READ rig-1"))[0] == f"DATAROW v{number}"


async def test_read_with_maximum_staleness_sees_older_writes(system, connect):
    await (await connect("booking")).execute("WRITE slot-1 mali")
    system.group.members["up-3"].is_replication_blocked = True
    await (await connect("booking")).execute("WRITE slot-1 somchai")
    await asyncio.sleep(1.7)
    caller = await connect("calendar")
    for _ in range(10):
        assert (await caller.execute("READ slot-1"))[0] == "DATAROW somchai"


async def test_read_uses_the_confirmed_primary_without_a_fresh_position(
    system, connect, monkeypatch
):
    monkeypatch.setattr(
        position_history.PositionHistory, "find_position", lambda self, time_s: None
    )
    caller = await connect("calendar")
    await caller.execute("READ slot-1")
    run = find_runs(system, "READ slot-1")[-1]
    assert run.member_id == "up-1"
    assert run.is_in_transaction


async def test_statement_never_runs_outside_a_refused_transaction(system, connect):
    # A replica that lacks the position refuses BEGIN; a read sent together with it
    # would run outside the transaction.
    await (await connect("booking")).execute("WRITE slot-1 mali")
    caller = await connect("confirmation")
    await caller.execute("WRITE slot-2 somchai")
    for member in system.group.members.values():
        if not member.is_primary:
            member.applied_count = 0
    assert (await caller.execute("BEGIN READ"))[0] == DONE
    assert (await caller.execute("READ slot-2"))[0] == "DATAROW somchai"
    runs = find_runs(system, "READ slot-2")
    assert runs and all(run.is_in_transaction for run in runs)
    assert (await caller.execute("COMMIT"))[0].startswith("COMPLETE sig")


async def test_transaction_stays_on_one_connection_and_commits_once(system, connect):
    caller, other = await connect("booking"), await connect("booking")
    await caller.execute("BEGIN")
    await caller.execute("WRITE slot-1 mali")
    await other.execute("WRITE slot-9 other")
    assert (await caller.execute("READ slot-1"))[0] == "DATAROW mali"
    assert (await other.execute("READ slot-1"))[0] == "DATAROW none"
    answer = await caller.execute("COMMIT")
    assert answer[0].startswith("COMPLETE sig")
    assert answer[1] == "READY I -"
    sessions = {each.session for each in find_runs(system, "WRITE slot-1 mali")}
    sessions |= {each.session for each in find_runs(system, "COMMIT")}
    assert len(sessions) == 1


async def test_session_values_do_not_leak_between_callers(system, connect):
    first, second = await connect("booking"), await connect("booking")
    assert (await first.execute("SET zone bangkok"))[0] == DONE
    await first.execute("READ slot-1")
    await second.execute("READ slot-2")
    await first.execute("READ slot-3")
    values = {each.text: dict(each.values) for each in system.group.records}
    assert values["READ slot-1"] == {"zone": "bangkok"}
    assert values["READ slot-2"] == {}
    assert values["READ slot-3"] == {"zone": "bangkok"}


async def test_callers_may_use_the_same_prepared_statement_name(system, connect):
    first, second = await connect("booking"), await connect("booking")
    await first.execute("PREPARE s1 WRITE shape-a")
    await second.execute("PREPARE s1 READ shape-b")
    assert (await first.execute("EXECUTE s1 slot-1 mali"))[0].startswith("COMPLETE sig")
    assert (await second.execute("EXECUTE s1 slot-1"))[0] == "DATAROW mali"
    assert (await second.execute("CLOSE s1"))[0] == DONE
    assert (await second.execute("EXECUTE s1 slot-1"))[0].startswith("ERROR NOSTMT")


async def test_malformed_request_is_refused_and_the_session_continues(system, connect):
    caller = await connect("booking")
    for line in (b"NONSENSE\r\n", b"QUERY 1\r\n", b"QUERY 1 DROP x\r\n", b"\xff\r\n"):
        answer = await caller.send_line(line)
        assert answer[0].startswith("ERROR MALFORMED")
        assert answer[1] == "READY I -"
    assert (await caller.execute("READ slot-1"))[0] == "DATAROW none"


async def test_unknown_database_is_refused(system, connect):
    caller = await connect("nowhere")
    assert caller.startup_reply.startswith("ERROR NODB")


async def test_failed_transaction_can_only_be_rolled_back(system, connect):
    caller = await connect("booking")
    await caller.execute("BEGIN")
    await caller.execute("WRITE slot-1 mali")
    system.upstreams["up-1"].faults.rejections.append("FAILED")
    assert (await caller.execute("WRITE slot-2 mali"))[0].startswith("ERROR ABORTED")
    answer = await caller.execute("READ slot-1")
    assert answer[0].startswith("ERROR MALFORMED")
    assert answer[1] == "READY E -"
    assert (await caller.execute("ROLLBACK")) == [DONE, "READY I -"]
    assert (await caller.execute("READ slot-1"))[0] == "DATAROW none"


async def test_removed_route_is_refused_from_the_next_transaction(system, connect):
    caller = await connect("booking")
    document = build_document(2)
    document["routes"] = document["routes"][1:]
    await caller.execute("BEGIN")
    await caller.execute("READ slot-1")
    await system.service.put_json("op/config", document)
    while system.proxies[0].proxy.services.routes.table.version < 2:
        await asyncio.sleep(0.02)
    assert (await caller.execute("READ slot-2"))[0] == "DATAROW none"
    assert (await caller.execute("COMMIT"))[0].startswith("COMPLETE sig")
    assert (await caller.execute("READ slot-1"))[0].startswith("ERROR NODB")


async def test_older_or_malformed_document_is_never_put_in_force(system, connect):
    routes = system.proxies[0].proxy.services.routes
    await system.service.put_json("op/config", build_document(5))
    while routes.table.version < 5:
        await asyncio.sleep(0.02)
    await system.service.put_json("op/config", build_document(4))
    await system.service.put("op/config", b"{broken")
    await system.service.drop_history()
    await asyncio.sleep(1.0)
    assert routes.table.version == 5
    assert len(routes.table.routes) == 3


async def test_idle_transaction_is_rolled_back(system, connect):
    document = build_document(2)
    document["limits"]["txIdleMs"] = 200
    await system.service.put_json("op/config", document)
    while system.proxies[0].proxy.services.routes.table.version < 2:
        await asyncio.sleep(0.02)
    caller = await connect("booking")
    await caller.execute("BEGIN")
    await caller.execute("WRITE slot-1 mali")
    await asyncio.sleep(0.8)
    assert (await caller.execute("COMMIT"))[0].startswith("ERROR ABORTED")
    assert (await caller.execute("READ slot-1"))[0] == "DATAROW none"
