"""Keys that are withdrawn while their callers are connected."""

import asyncio
import random

import pytest

from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import build_document
from ebonyrack.standins.line_system import require_accounts

LIMIT_S = 3.0
WITHDRAWN = {"bode960": ["key-1"], "palu17": ["key-3"]}
DONE = "COMPLETE -"


@pytest.fixture
async def accounts(system):
    """Put accounts with three keys in force."""
    await system.change_document(
        require_accounts(
            build_document(2), {"bode960": ["key-1", "key-2"], "palu17": ["key-3"]}
        )
    )


async def withdraw(system, keys=WITHDRAWN, version=3):
    await system.change_document(require_accounts(build_document(version), keys))


async def is_closed(caller):
    async with asyncio.timeout(LIMIT_S):
        return await caller.read_reply() == []


def count_runs(system, text):
    return sum(each.text == text for each in system.group.records)


async def test_idle_session_is_closed_without_an_error(system, connect, accounts):
    withdrawn = await connect("booking", key="key-2")
    others = [await connect("booking", key=key) for key in ("key-1", "key-3")]
    await withdrawn.execute("READ slot-1")
    await withdraw(system)
    assert await is_closed(withdrawn)
    for other in others:
        assert (await other.execute("READ slot-1"))[0] == "DATAROW none"
    again = await connect("booking", key="key-2")
    assert again.startup_reply.startswith("ERROR DENIED")


@pytest.mark.parametrize("text", ["READ slot-2", "WRITE slot-2 x", "COMMIT"])
async def test_open_transaction_is_rolled_back(system, connect, accounts, text):
    caller = await connect("booking", key="key-2")
    await caller.execute("BEGIN")
    await caller.execute("WRITE slot-1 mali")
    await withdraw(system)
    reply = await caller.execute(text)
    assert reply[0].startswith("ERROR DENIED")
    assert await is_closed(caller)
    async with asyncio.timeout(LIMIT_S):
        while count_runs(system, "ROLLBACK") == 0:
            await asyncio.sleep(0.01)
    assert count_runs(system, text) == 0
    assert system.group.primary.log == []


async def test_running_write_is_finished_and_its_answer_delivered(
    system, connect, accounts
):
    caller = await connect("booking", key="key-2")
    system.upstreams["up-1"].faults.delay_s = 0.4
    write = asyncio.create_task(caller.execute("WRITE slot-1 mali"))
    await asyncio.sleep(0.1)
    await withdraw(system)
    assert not write.done()
    assert (await write)[0].startswith("COMPLETE sig")
    assert await is_closed(caller)


async def test_statement_running_in_a_transaction_is_the_last_one(
    system, connect, accounts
):
    caller = await connect("booking", key="key-2")
    await caller.execute("BEGIN")
    system.upstreams["up-1"].faults.delay_s = 0.4
    write = asyncio.create_task(caller.execute("WRITE slot-1 mali"))
    await asyncio.sleep(0.1)
    await withdraw(system)
    assert (await write)[0].startswith("COMPLETE sig")
    system.upstreams["up-1"].faults.delay_s = 0.0
    assert (await caller.execute("COMMIT"))[0].startswith("ERROR DENIED")
    assert count_runs(system, "COMMIT") == 0


async def test_request_that_arrived_just_before_the_version_is_answered(
    system, connect, accounts
):
    caller = await connect("booking", key="key-2")
    proxy = system.proxies[0].proxy
    (connection,) = proxy.listener.connections.values()
    # The request is in the buffer and not yet read as the version comes into force.
    proxy.services.routes.callbacks.insert(
        0, lambda table: connection.stream.data_received(b"QUERY 1 READ slot-1\r\n")
    )
    await system.publish_document(require_accounts(build_document(3), WITHDRAWN))
    async with asyncio.timeout(LIMIT_S):
        reply = await caller.read_reply()
    assert reply[0].startswith("ERROR DENIED")
    assert count_runs(system, "READ slot-1") == 0


@pytest.mark.parametrize(
    "keys",
    [
        {"bode960": ["key-1"], "palu17": ["key-2", "key-3"]},
        {"palu17": ["key-3"]},
        {},
    ],
)
async def test_moved_key_and_removed_account_end_the_session(
    system, connect, accounts, keys
):
    caller = await connect("booking", key="key-2")
    await withdraw(system, keys)
    assert await is_closed(caller)


async def test_route_that_allows_no_anonymous_callers_any_more_ends_their_sessions(
    system, connect
):
    caller = await connect("booking", key="key-9")
    await caller.execute("READ slot-1")
    await withdraw(system)
    assert await is_closed(caller)


async def test_removed_route_leaves_the_transaction_of_a_valid_key(
    system, connect, accounts
):
    caller = await connect("booking", key="key-1")
    await caller.execute("BEGIN")
    await caller.execute("WRITE slot-1 mali")
    document = require_accounts(build_document(3), WITHDRAWN)
    await system.change_document({**document, "routes": document["routes"][1:]})
    assert (await caller.execute("COMMIT"))[0].startswith("COMPLETE sig")


async def test_rejected_version_withdraws_nothing_and_brings_no_key(
    system, connect, accounts
):
    caller = await connect("booking", key="key-2")
    document = require_accounts(
        build_document(3), {"bode960": ["key-1", "key-4"], "palu17": ["key-1"]}
    )
    await system.publish_document(document)
    await asyncio.sleep(0.5)
    assert (await caller.execute("READ slot-1"))[0] == "DATAROW none"
    refused = await connect("booking", key="key-4")
    assert refused.startup_reply.startswith("ERROR DENIED")


async def test_restarted_proxy_starts_from_the_newest_version(system, accounts):
    await withdraw(system)
    proxy = await system.add_proxy("proxy-1")
    async with LineCaller(
        proxy.proxy.settings.caller_address, "booking", "key-2"
    ) as caller:
        assert caller.startup_reply.startswith("ERROR DENIED")
    assert proxy.proxy.services.routes.table.version == 3
    options = [follower.options for follower in proxy.proxy.followers]
    # A read that may be old would bring a withdrawn key back.
    (document,) = [each for each in options if each.prefix == "op/config"]
    assert not document.allow_stale


async def test_proxy_that_lost_the_store_goes_on_with_the_version_it_has(
    system, connect, accounts
):
    caller = await connect("booking", key="key-2")
    system.service.faults.status = 503
    await system.publish_document(require_accounts(build_document(3), WITHDRAWN))
    assert (await caller.execute("READ slot-1"))[0] == "DATAROW none"
    system.service.faults.status = 0
    assert await is_closed(caller)


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_no_statement_of_a_withdrawn_key_runs_in_a_storm_of_versions(
    system, connect, seed
):
    chance = random.Random(seed)
    names = [f"account-{number}" for number in range(4)]
    keys = [f"key-{number}" for number in range(10)]
    sessions = {}
    for version in range(2, 22):
        held = {name: [] for name in names}
        for key in chance.sample(keys, 6):
            held[chance.choice(names)].append(key)
        await withdraw(system, held, version)
        in_force = {key: name for name, each in held.items() for key in each}
        for number, key in enumerate(keys):
            caller = await connect("booking", key=key)
            assert caller.startup_reply.startswith("READY") == (key in in_force)
            if key in in_force:
                text = f"READ session-{version}-{number}"
                sessions[text] = (caller, key, in_force[key])
                if chance.random() < 0.3:
                    await caller.execute("BEGIN")
        for text, (caller, key, account) in list(sessions.items()):
            runs = count_runs(system, text)
            may_run = in_force.get(key) == account
            try:
                reply = await caller.execute(text)
            except ConnectionError:
                reply = []
            assert (count_runs(system, text) > runs) == may_run
            assert bool(reply and reply[0] == "DATAROW none") == may_run
            assert all(
                each.account == account
                for each in system.group.records
                if each.text == text
            )
            if not may_run:
                del sessions[text]
