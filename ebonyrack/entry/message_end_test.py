"""Messages end at CR LF alone: issue 41, a line feed in a field made a second write.

Each text must reach the other side byte for byte, as one message, or be rejected with
nothing run; the next message of the session gets its own answer.
"""

import asyncio

import pytest

from ebonyrack.entry.conftest import check_in_step
from ebonyrack.entry.conftest import find_run
from ebonyrack.entry.conftest import list_runs
from ebonyrack.standins.line_messages import encode_message
from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import build_document
from ebonyrack.standins.line_system import require_accounts

# Characters at which some reader of lines ends one, and others that some trim.
CHARACTERS = [
    "\n",
    "\r",
    "\n\r",
    "\r\r",
    "\x00",
    "\x0b",
    "\x0c",
    "\x1c",
    "\x1e",
    "\x85",
    "\u2028",
    "\u2029",
    "\t",
    "\xa0",
    "\udc85",
    "\udcff",
]
INNER = "QUERY 5d WRITE 2b5 second"


@pytest.mark.parametrize("character", CHARACTERS)
@pytest.mark.parametrize(
    "text",
    [
        "WRITE 1a4 first{}" + INNER,
        "WRITE 1a4 {}",
        "WRITE 1a4 {}data",
        "WRITE 1a4 data{}",
        "WRITE 1a4  data {}  ",
        "WRITE 1{}a4 data",
        "READ 1{}a4",
        "READ {}",
    ],
)
async def test_statement_is_run_as_it_was_sent(system, connect, text, character):
    # Before, a line feed ended the message: a second write ran, under another ID.
    caller = await connect("booking")
    sent = text.format(character)
    reply = await caller.execute(sent)
    assert reply[-2].startswith("COMPLETE sig")
    assert list_runs(system) == [(caller.request_id, sent)]
    await check_in_step(caller)


@pytest.mark.parametrize("character", CHARACTERS)
@pytest.mark.parametrize("data", ["first{}" + INNER, "{}data", "data{}", "{}"])
async def test_row_is_answered_as_the_upstream_sent_it(
    system, connect, data, character
):
    # Before, a row ended at a line feed: the caller got a shorter row as a success.
    caller = await connect("booking")
    stored = data.format(character)
    await caller.execute(f"WRITE 1a4 {stored}")
    reply = await caller.execute("READ 1a4")
    assert reply[0] == f"DATAROW {stored}"
    assert reply[1] == f"COMPLETE {find_run(system, caller.request_id).signature}"
    assert len(reply) == 3
    await check_in_step(caller)


@pytest.mark.parametrize("end", ["\n", "x\ny", "\nREADY I 9.9", "\r", "\x85"])
async def test_signature_is_answered_as_the_upstream_sent_it(system, connect, end):
    for upstream in system.upstreams.values():
        upstream.faults.signature_end = end
    caller = await connect("booking")
    reply = await caller.execute("WRITE 1a4 data")
    signature = find_run(system, caller.request_id).signature
    assert signature.endswith(end)
    assert reply == [f"COMPLETE {signature}", "READY I -"]
    await check_in_step(caller)


@pytest.mark.parametrize("end", ["a\nb", "a\nREADY I 9.9", "a\rb", "\x85", "a\u2028b"])
async def test_text_of_an_upstream_error_stays_within_the_error(system, connect, end):
    caller = await connect("booking")
    for upstream in system.upstreams.values():
        upstream.faults.rejections.append(f"FAILED {end}")
    reply = await caller.execute("WRITE 1a4 data")
    assert reply[0].startswith("ERROR FAILED ") and end in reply[0]
    assert reply[1:] == ["READY I -"]
    assert list_runs(system) == []
    for upstream in system.upstreams.values():
        upstream.faults.rejections.clear()
    await check_in_step(caller)


@pytest.mark.parametrize("character", CHARACTERS)
async def test_request_id_is_carried_as_it_was_sent(system, connect, character):
    caller = await connect("booking")
    request_id = f"5c{character}QUERY"
    reply = await caller.send_line(encode_message(f"QUERY {request_id} WRITE 1a4 x"))
    assert reply[0].startswith("COMPLETE sig")
    assert list_runs(system) == [(request_id, "WRITE 1a4 x")]
    await check_in_step(caller)


@pytest.mark.parametrize("character", CHARACTERS)
async def test_transaction_runs_what_was_sent(system, connect, character):
    caller = await connect("booking")
    write = f"WRITE 1a4 first{character}{INNER}"
    await caller.execute("BEGIN")
    await caller.execute(write)
    await check_in_step(caller, state="T")
    assert (await caller.execute("READ 1a4"))[0] == f"DATAROW first{character}{INNER}"
    reply = await caller.execute("COMMIT")
    assert reply[0].startswith("COMPLETE sig")
    texts = [text for _, text in list_runs(system)]
    assert texts == [write, "READ other-item", "READ 1a4", "COMMIT"]
    assert len({each.session for each in system.group.records}) <= 2


@pytest.mark.parametrize("character", CHARACTERS)
async def test_session_values_are_replayed_as_they_were_set(system, connect, character):
    caller = await connect("booking")
    name, value = f"zo{character}ne", f"far {character}{INNER} away {character}"
    assert await caller.execute(f"SET {name} {value}") == ["COMPLETE -", "READY I -"]
    await caller.execute("READ 1a4")
    assert find_run(system, caller.request_id).values == ((name, value),)
    other = await connect("booking")
    await other.execute("READ 1a5")
    assert find_run(system, other.request_id).values == ()


@pytest.mark.parametrize("character", CHARACTERS)
async def test_prepared_statement_runs_what_was_sent(system, connect, character):
    caller = await connect("booking")
    name, shape = f"s{character}1", f"q2c{character}{INNER}"
    await caller.execute(f"PREPARE {name} WRITE {shape}")
    data = f"data{character}{INNER}{character}"
    reply = await caller.execute(f"EXECUTE {name} 1a4 {data}")
    assert reply[0].startswith("COMPLETE sig")
    ((request_id, text),) = list_runs(system)
    assert request_id == caller.request_id
    assert text.startswith("EXECUTE ") and text.endswith(f" 1a4 {data}")
    shapes = [each.text for each in system.group.records if "PREPARE" in each.text]
    assert len(shapes) == 1 and shapes[0].endswith(f" WRITE {shape}")
    assert (await caller.execute("READ 1a4"))[0] == f"DATAROW {data}"
    assert (await caller.execute(f"CLOSE {name}"))[0] == "COMPLETE -"


@pytest.mark.parametrize("character", CHARACTERS)
@pytest.mark.parametrize("text", ["COMMIT{}", "BEGIN{}", "BEGIN{}READ", "{}READ x", ""])
async def test_command_with_another_character_is_malformed(
    system, connect, text, character
):
    caller = await connect("booking")
    reply = await caller.execute(text.format(character))
    assert reply[0].startswith("ERROR MALFORMED") and len(reply) == 2
    assert list_runs(system) == []
    await check_in_step(caller)


@pytest.mark.parametrize("character", CHARACTERS)
async def test_database_name_is_not_cut(system, character):
    address = system.proxies[0].proxy.settings.caller_address
    async with LineCaller(address, f"booking{character}QUERY") as caller:
        assert caller.startup_reply.startswith("ERROR NODB")
        assert await caller.read_reply() == []
    assert list_runs(system) == []


async def test_key_of_an_account_is_not_cut(system, connect):
    key = "secret\nQUERY 5d WRITE 2b5 second"
    document = require_accounts(build_document(2), {"yard": [key]})
    await system.change_document(document)
    caller = await connect("booking", key=key)
    assert caller.startup_reply == "READY I -"
    cut = await connect("booking", key="secret")
    assert cut.startup_reply.startswith("ERROR DENIED")
    await check_in_step(caller)


@pytest.mark.parametrize("size", [1, 1000, 700_000])
async def test_message_is_whole_however_its_packets_are_cut(system, connect, size):
    caller = await connect("booking")
    data = "\n\r" + "x" * size + "\n" + INNER + "\r"
    message = encode_message(f"QUERY 5c WRITE 1a4 {data}")
    pieces = [message[:3], message[3:-2], message[-2:-1], message[-1:]]
    for piece in pieces:
        caller.writer.write(piece)
        await caller.writer.drain()
        await asyncio.sleep(0.02)
    reply = await caller.read_reply()
    assert reply[0].startswith("COMPLETE sig")
    assert list_runs(system) == [("5c", f"WRITE 1a4 {data}")]
    assert (await caller.execute("READ 1a4"))[0] == f"DATAROW {data}"


async def test_messages_in_one_packet_get_their_own_answers(system, connect):
    caller = await connect("booking")
    texts = ["WRITE 1a4 a\nb", "READ 1a4", "WRITE 1a4 \r", "READ 1a4"]
    caller.writer.write(
        b"".join(
            encode_message(f"QUERY {number} {text}")
            for number, text in enumerate(texts)
        )
    )
    replies = [await caller.read_reply() for _ in texts]
    assert replies[1][0] == "DATAROW a\nb" and replies[3][0] == "DATAROW \r"
    assert list_runs(system) == [
        (str(number), text) for number, text in enumerate(texts)
    ]
