"""Work that is handed to homes, with faults at each of its steps."""

import asyncio

import pytest

from ebonyrack.core import metrics
from ebonyrack.core.address import Address
from ebonyrack.handover.conftest import TIMEOUT_S
from ebonyrack.handover.conftest import group_of
from ebonyrack.handover.conftest import has_connections
from ebonyrack.handover.conftest import wait_until
from ebonyrack.handover.home import VERSION_SPREAD_S
from ebonyrack.handover.home import serve
from ebonyrack.handover.row_parts import PART_BYTES
from ebonyrack.handover.row_parts import RowParts
from ebonyrack.handover.statement_messages import HandedAnswer
from ebonyrack.peers import proxy_link
from ebonyrack.peers import proxy_links
from ebonyrack.peers.proxy_link import ProxyLink
from ebonyrack.promotion.promoter import Promoter
from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import LineSystem
from ebonyrack.standins.line_system import build_document
from ebonyrack.standins.line_system import require_accounts


class Recorder:
    """A fake counter that keeps the outcomes."""

    def __init__(self):
        self.outcomes = []

    def add(self, amount, labels):
        self.outcomes.append(labels["outcome"])


def is_complete(reply):
    return any(line.startswith("COMPLETE") for line in reply)


async def test_statements_and_transactions_are_served_by_homes(fleet, connect):
    for database in ("booking", "calendar", "confirmation"):
        caller = await connect(database)
        assert is_complete(await caller.execute(f"WRITE {database} mali"))
        for text in ("BEGIN", f"READ {database}", "WRITE b x", "COMMIT"):
            assert is_complete(await caller.execute(text)), text
        for text in ("BEGIN READ", f"READ {database}", "ROLLBACK"):
            assert is_complete(await caller.execute(text)), text
        # A session reads what it wrote, also at another home.
        for number in range(6):
            await caller.execute(f"WRITE {database} v{number}")
            if database != "calendar":
                assert f"DATAROW v{number}" in await caller.execute(f"READ {database}")
    await wait_until(lambda: not has_connections(group_of(fleet.front)))
    assert fleet.states
    assert fleet.open_transactions() == 0
    assert fleet.system.group.find_lost_entries() == []


async def test_handed_work_is_counted_on_both_ends(fleet, connect, monkeypatch):
    recorders = {"handed_over": Recorder(), "served_for_others": Recorder()}
    for name, recorder in recorders.items():
        monkeypatch.setattr(metrics, name, recorder)
    caller = await connect()
    await caller.execute("WRITE a mali")
    fleet.front.home_asker.newest_version = 99
    await caller.execute("READ a")
    assert recorders["handed_over"].outcomes == ["served", "not_run", "not_run"] + [
        "served_here"
    ]
    assert recorders["served_for_others"].outcomes == ["served"] + 2 * ["declined"]


async def test_fronts_keep_no_connection_and_probe_no_upstream(fleet):
    front = group_of(fleet.front)
    await wait_until(lambda: not has_connections(front))
    before = list(front.position_history.samples)
    for _ in range(100):
        assert not has_connections(front)
        await asyncio.sleep(0.01)
    assert list(front.position_history.samples) == before


async def test_session_values_and_prepared_statements_travel(fleet, connect):
    caller = await connect()
    await caller.execute("SET colour red")
    await caller.execute("PREPARE put WRITE q2c")
    await caller.execute("PREPARE get READ q1")
    assert is_complete(await caller.execute("EXECUTE put slot-1 mali"))
    assert is_complete(await caller.execute("EXECUTE get slot-1"))
    assert is_complete(await caller.execute("BEGIN"))
    await caller.execute("SET colour blue")
    assert is_complete(await caller.execute("EXECUTE get slot-1"))
    assert is_complete(await caller.execute("COMMIT"))
    values = [dict(record.values).get("colour") for record in fleet.records]
    assert values[0] == "red" and values[-1] == "blue"
    assert (await caller.execute("EXECUTE none slot-1"))[0].startswith("ERROR")


async def test_account_travels_but_not_its_key(fleet, connect):
    document = require_accounts(build_document(7), {"yard": ["secret-key"]})
    await fleet.system.change_document(document)
    caller = await connect(key="secret-key")
    assert caller.startup_reply.startswith("READY")
    assert is_complete(await caller.execute("WRITE slot-1 mali"))
    assert is_complete(await caller.execute("BEGIN"))
    assert is_complete(await caller.execute("READ slot-1"))
    assert is_complete(await caller.execute("COMMIT"))
    assert {record.account for record in fleet.records} == {"yard"}
    assert fleet.states
    refused = await connect(key="other")
    assert refused.startup_reply.startswith("ERROR DENIED")


async def test_home_runs_nothing_for_a_front_that_lacks_its_version(
    fleet, connect, monkeypatch
):
    document = require_accounts(build_document(7), {"yard": ["key-1", "key-2"]})
    await fleet.system.change_document(document)
    caller = await connect(key="key-2")
    assert is_complete(await caller.execute("READ slot-1"))
    # The front reads no further version.
    monkeypatch.setattr(fleet.front, "apply_document", lambda value: asyncio.sleep(0))
    document = require_accounts(build_document(8), {"yard": ["key-1"]})
    await fleet.system.publish_document(document)
    await wait_until(
        lambda: all(home.services.routes.table.version == 8 for home in fleet.homes)
    )
    await asyncio.sleep(VERSION_SPREAD_S + 0.1)
    declined = Recorder()
    monkeypatch.setattr(metrics, "served_for_others", declined)
    assert is_complete(await caller.execute("READ slot-2"))
    assert set(declined.outcomes) == {"declined"}
    assert fleet.records[-1].text == "READ slot-2"


async def test_idle_transaction_ends_at_the_home_too(fleet, connect):
    document = build_document(7)
    document["limits"]["txIdleMs"] = 300
    await fleet.system.change_document(document)
    caller = await connect()
    await caller.execute("BEGIN")
    await caller.execute("WRITE slot-1 mali")
    assert fleet.open_transactions() == 1
    # The front doesn't tell that it has ended it.
    fleet.front.links.tell = lambda proxy, message: None
    await wait_until(lambda: fleet.open_transactions() == 0)
    assert (await caller.execute("COMMIT"))[0].startswith("ERROR ABORTED")


async def test_caller_that_leaves_rolls_back_at_the_home(fleet, connect):
    caller = await connect()
    await caller.execute("BEGIN")
    await caller.execute("WRITE slot-1 mali")
    assert fleet.open_transactions() == 1
    await caller.stop()
    await wait_until(lambda: fleet.open_transactions() == 0)
    assert fleet.system.group.acknowledged == []


async def test_home_with_an_older_version_runs_nothing(fleet, connect):
    caller = await connect()
    fleet.front.home_asker.newest_version = 99
    assert is_complete(await caller.execute("WRITE slot-1 mali"))
    assert len(fleet.records) == 1
    # It was served here, on a connection that isn't kept.
    await wait_until(lambda: not has_connections(group_of(fleet.front)))


async def test_answers_larger_than_a_message_are_whole(fleet, connect, monkeypatch):
    async def serve_many_rows(session, question):
        answer = await serve(session, question)
        answer.rows = [b"row-%d" % number for number in range(10)]
        return answer

    monkeypatch.setattr("ebonyrack.handover.row_parts.PART_BYTES", 12)
    monkeypatch.setattr("ebonyrack.handover.home.serve", serve_many_rows)
    caller = await connect()
    reply = await caller.execute("READ slot-1")
    assert reply[:10] == [f"DATAROW row-{number}" for number in range(10)]
    assert not any(home.home.row_parts.kept for home in fleet.homes)


async def test_largest_statement_is_handed_over_and_larger_ones_are_served_here(
    fleet, connect
):
    caller = await connect()
    data = "x" * (1000 * 1024)
    assert is_complete(await caller.execute(f"WRITE slot-1 {data}"))
    await caller.execute("PREPARE put WRITE q1")
    assert is_complete(await caller.execute(f"EXECUTE put slot-1 {data}"))
    assert all(state.failing_since_s is None for state in fleet.states)
    assert not any(each.pool.idle for each in group_of(fleet.front).members.values())
    for name in ("a", "b"):
        await caller.execute(f"SET {name} {data}")
    assert is_complete(await caller.execute(f"WRITE slot-1 {data}"))
    assert all(state.failing_since_s is None for state in fleet.states)


def test_rows_are_split_and_fetched_once():
    parts = RowParts()
    rows = [bytes([number]) * (PART_BYTES // 2) for number in range(5)]
    first, number = parts.split("a", rows)
    found = [*first]
    assert parts.fetch("b", number) is None
    while number:
        more, number = parts.fetch("a", number)
        found += more
    assert found == rows and not parts.kept
    assert parts.split("a", [b"x"]) == ([b"x"], 0)


# Faults of the link or of the home, by name. Each acts while a home serves or has
# served a statement of the front.


def get_link(fleet, home):
    return home.links.links[fleet.front.settings.name]


async def cut_link(fleet, home):
    get_link(fleet, home).writer.transport.abort()


async def kill_home(fleet, home):
    for link in tuple(home.links.opened):
        link.writer.transport.abort()
    home.links.server.close()


FAULTS = {"cut": cut_link, "killed": kill_home}


def is_at_upstream(home):
    """Return whether a home waits for an upstream's reply to a handed statement."""
    if not home.home.serving:
        return False
    links = [
        link for each in group_of(home).members.values() for link in each.pool.busy
    ]
    return any(link.outstanding_replies for link in links)


async def run_with_fault(fleet, caller, text, fault):
    """Let a fault happen while a statement is being served; return its reply."""
    for upstream in fleet.system.upstreams.values():
        upstream.faults.delay_s = 0.2
    running = asyncio.create_task(caller.execute(text))
    await wait_until(lambda: any(is_at_upstream(each) for each in fleet.homes))
    # The upstream has received the statement, and runs it after the delay.
    await asyncio.sleep(0.05)
    home = next(each for each in fleet.homes if is_at_upstream(each))
    await fault(fleet, home)
    for upstream in fleet.system.upstreams.values():
        upstream.faults.delay_s = 0.0
    return await running


async def drop_answer(fleet, monkeypatch):
    """Let homes break the link instead of sending the next answer."""
    send = ProxyLink.send
    dropped = []

    def cut_instead(link, message, correlation=0):
        if isinstance(message, HandedAnswer) and not dropped:
            dropped.append(message)
            link.close()
            return False
        return send(link, message, correlation)

    monkeypatch.setattr(ProxyLink, "send", cut_instead)
    return dropped


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("database", ["booking", "calendar"])
async def test_read_moves_elsewhere(fleet, connect, fault, database):
    caller = await connect(database)
    await caller.execute("WRITE slot-1 mali")
    reply = await run_with_fault(fleet, caller, "READ slot-1", FAULTS[fault])
    assert is_complete(reply)


@pytest.mark.parametrize("fault", FAULTS)
async def test_outcome_of_a_write_without_an_answer_is_unknown(fleet, connect, fault):
    caller = await connect()
    reply = await run_with_fault(fleet, caller, "WRITE slot-1 mali", FAULTS[fault])
    assert reply[0].startswith("ERROR INDOUBT")
    await asyncio.sleep(0.3)
    assert len(fleet.records) == 1
    assert is_complete(await caller.execute("WRITE slot-2 mali"))


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", [0, 1])
async def test_open_transaction_is_rolled_back(fleet, connect, fault, step):
    caller = await connect()
    await caller.execute("BEGIN")
    if step:
        await caller.execute("WRITE slot-0 mali")
    reply = await run_with_fault(fleet, caller, "WRITE slot-1 mali", FAULTS[fault])
    assert reply[0].startswith("ERROR ABORTED")
    assert reply[-1].startswith("READY E")
    assert (await caller.execute("COMMIT"))[0].startswith("ERROR ABORTED")
    await wait_until(lambda: fleet.open_transactions() == 0)
    assert fleet.system.group.acknowledged == []
    assert is_complete(await caller.execute("WRITE slot-2 mali"))


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("text", ["READ slot-1", "WRITE slot-1 mali"])
async def test_commit_without_an_answer(fleet, connect, fault, text):
    caller = await connect()
    await caller.execute("BEGIN")
    await caller.execute(text)
    reply = await run_with_fault(fleet, caller, "COMMIT", FAULTS[fault])
    expected = "INDOUBT" if text.startswith("WRITE") else "ABORTED"
    assert reply[0].startswith(f"ERROR {expected}")
    assert is_complete(await caller.execute("WRITE slot-2 mali"))


@pytest.mark.parametrize(
    ("texts", "expected"),
    [
        (["READ a"], "DATAROW"),
        (["WRITE a x"], "ERROR INDOUBT"),
        (["BEGIN", "WRITE a x"], "ERROR ABORTED"),
        (["BEGIN", "WRITE a x", "WRITE b x"], "ERROR ABORTED"),
        (["BEGIN", "WRITE a x", "COMMIT"], "ERROR INDOUBT"),
    ],
)
async def test_answer_that_is_lost_after_it_was_produced(
    fleet, connect, monkeypatch, texts, expected
):
    caller = await connect()
    await caller.execute("WRITE a mali")
    for text in texts[:-1]:
        assert is_complete(await caller.execute(text))
    before = len(fleet.records)
    dropped = await drop_answer(fleet, monkeypatch)
    reply = await caller.execute(texts[-1])
    assert len(dropped) == 1
    assert reply[0].startswith(expected)
    runs = len(fleet.records) - before
    assert runs == (2 if texts[0].startswith("READ") else 1)


@pytest.mark.parametrize(
    "texts",
    [
        ["READ a"],
        ["WRITE a x"],
        ["BEGIN", "WRITE a x", "COMMIT"],
        ["BEGIN READ", "READ a", "COMMIT"],
    ],
)
async def test_link_that_was_cut_before_the_question_costs_nothing(
    fleet, connect, texts
):
    caller = await connect()
    await caller.execute("WRITE a mali")
    for home in fleet.homes:
        for link in tuple(home.links.opened):
            link.close()
    await wait_until(lambda: not fleet.front.links.opened)
    for text in texts:
        assert is_complete(await caller.execute(text))


async def test_transaction_whose_link_broke_between_statements(fleet, connect):
    caller = await connect()
    await caller.execute("BEGIN")
    await caller.execute("WRITE a x")
    await cut_link(fleet, fleet.serving_home)
    await wait_until(lambda: fleet.open_transactions() == 0)
    assert (await caller.execute("WRITE b x"))[0].startswith("ERROR ABORTED")
    assert is_complete(await caller.execute("ROLLBACK"))
    assert fleet.system.group.acknowledged == []


@pytest.mark.parametrize(
    ("texts", "expected"),
    [
        (["READ a"], "DATAROW mali"),
        (["WRITE a x"], "ERROR INDOUBT"),
        (["BEGIN", "WRITE a x"], "ERROR ABORTED"),
        (["BEGIN", "WRITE a x", "READ a"], "ERROR ABORTED"),
        (["BEGIN", "WRITE a x", "COMMIT"], "ERROR INDOUBT"),
        (["BEGIN", "READ a", "COMMIT"], "ERROR ABORTED"),
    ],
)
async def test_silent_link_is_found(fleet, connect, monkeypatch, texts, expected):
    document = build_document(7, booking={"timeoutMs": 20000})
    await fleet.system.change_document(document)
    caller = await connect()
    await caller.execute("WRITE a mali")
    for text in texts[:-1]:
        assert is_complete(await caller.execute(text))
    monkeypatch.setattr(proxy_link, "SILENCE_LIMIT_S", 0.1)
    monkeypatch.setattr(proxy_links, "CHECK_INTERVAL_S", 0.02)
    monkeypatch.setattr(proxy_links, "CHECK_AFTER_S", 0.02)
    for home in fleet.homes:
        for link in home.links.opened:
            link.writer.transport.pause_reading()
    reply = await caller.execute(texts[-1])
    assert reply[0].startswith(expected)
    await caller.execute("ROLLBACK")
    # The link to the other home is silent too.
    await caller.write_until_complete("b", TIMEOUT_S)


async def test_draining_home_finishes_its_transactions_and_takes_no_new_work(
    fleet, connect
):
    caller = await connect()
    await caller.execute("BEGIN")
    await caller.execute("WRITE a x")
    home = fleet.serving_home
    home.services.drain.request("test")
    serving = asyncio.create_task(home.serve())
    assert is_complete(await caller.execute("WRITE b x"))
    other = await connect()
    for number in range(5):
        assert is_complete(await other.execute(f"WRITE c{number} x"))
        assert is_complete(await other.execute("BEGIN"))
        assert is_complete(await other.execute("WRITE d x"))
        assert len(home.home.transactions) == 1
        assert is_complete(await other.execute("COMMIT"))
    assert is_complete(await caller.execute("COMMIT"))
    assert await serving == 0


async def test_draining_home_ends_transactions_after_half_of_the_grace_time(
    fleet, connect
):
    caller = await connect()
    await caller.execute("BEGIN")
    await caller.execute("WRITE a x")
    home = fleet.serving_home
    home.services.drain.request("test")
    serving = asyncio.create_task(home.serve())
    await wait_until(lambda: not home.home.transactions)
    assert (await caller.execute("COMMIT"))[0].startswith("ERROR ABORTED")
    await serving
    assert fleet.system.group.acknowledged == []


async def test_draining_front_finishes_its_transaction(fleet, connect):
    caller = await connect()
    await caller.execute("BEGIN")
    await caller.execute("WRITE a x")
    fleet.front.services.drain.request("test")
    serving = asyncio.create_task(fleet.front.serve())
    assert is_complete(await caller.execute("COMMIT"))
    assert await serving == 0


async def test_front_that_was_killed_leaves_no_transaction(fleet, connect):
    caller = await connect()
    await caller.execute("BEGIN")
    await caller.execute("WRITE a x")
    for link in tuple(fleet.front.links.opened):
        link.writer.transport.abort()
    await wait_until(lambda: fleet.open_transactions() == 0)
    assert fleet.system.group.acknowledged == []


async def test_without_a_home_in_reach_the_front_serves_and_watches(fleet, connect):
    caller = await connect()
    await caller.execute("WRITE a mali")
    for home in fleet.homes:
        await kill_home(fleet, home)
    assert is_complete(await caller.execute("READ a"))
    assert is_complete(await caller.execute("WRITE a x"))
    assert is_complete(await caller.execute("BEGIN"))
    assert is_complete(await caller.execute("WRITE b x"))
    assert is_complete(await caller.execute("COMMIT"))
    history = group_of(fleet.front).position_history
    history.clear()
    await wait_until(lambda: history.samples)


async def test_homes_replace_a_lost_primary(fleet, connect, monkeypatch):
    ran = []

    async def run(promoter, health):
        ran.append(promoter.name)
        return await unchanged(promoter, health)

    unchanged = Promoter.run
    monkeypatch.setattr(Promoter, "run", run)
    caller = await connect()
    await caller.execute("WRITE a mali")
    await fleet.system.upstreams["up-1"].stop()
    await caller.write_until_complete("b", TIMEOUT_S)
    assert fleet.system.group.find_lost_entries() == []
    assert ran and fleet.front.settings.name not in ran


async def test_proxies_with_connections_of_their_own_hand_nothing_over():
    async with LineSystem(proxy_count=2) as system:
        for each in system.proxies:
            assert group_of(each.proxy).homes is None
            assert not group_of(each.proxy).hands_work_over
        address: Address = system.proxies[0].proxy.settings.caller_address
        async with LineCaller(address, "booking") as caller:
            assert is_complete(await caller.execute("WRITE a x"))
        assert not any(each.proxy.links.opened for each in system.proxies)
