"""Messages end at CR LF alone: issue 41, a line feed in a field made a second write.

Each text must reach the other side byte for byte, as one message, or be rejected with
nothing run; the next message of the session gets its own answer.
"""

import asyncio

import pytest

from ebonyrack.core.line_stream import MAXIMUM_LINE_BYTES
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


def list_runs(system):
    """Return the ID and text of each statement that upstreams ran for callers."""
    return [
        (record.request_id, record.text)
        for record in system.group.records
        if record.request_id != "-"
    ]


def find_run(system, request_id):
    """Return the record of the only run of a request."""
    (record,) = [each for each in system.group.records if each.request_id == request_id]
    return record


async def check_in_step(caller, state="I"):
    """Check that the next message gets its own answer."""
    reply = await caller.execute("READ other-item")
    assert [line.partition(" ")[0] for line in reply] == [
        "DATAROW",
        "COMPLETE",
        "READY",
    ]
    assert reply[0] == "DATAROW none"
    assert reply[2] == f"READY {state} -"


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


async def send_endless(caller, data):
    """Send bytes without an end for as long as the proxy reads them."""
    while not caller.writer.is_closing():
        caller.writer.write(data)
        await caller.writer.drain()
        await asyncio.sleep(0.01)


def get_connection(system):
    """Return the proxy's only connection to a caller."""
    (connection,) = system.proxies[0].proxy.listener.connections.values()
    return connection


@pytest.mark.parametrize("ends", ["", "T"])
@pytest.mark.parametrize("size", [1, MAXIMUM_LINE_BYTES])
async def test_message_over_the_limit_leaves_the_session_in_step(
    system, connect, size, ends
):
    # Before, the connection was closed with bytes unread, which resets it: callers
    # lost the answer, or their transaction.
    caller = await connect("booking")
    if ends:
        await caller.execute("BEGIN")
        await caller.execute("WRITE 1a4 data")
    head = b"QUERY 5c WRITE 1a5 \n"
    data = b"y" * (MAXIMUM_LINE_BYTES + size - len(head))
    reply = await caller.send_line(head + data + b"\r\n")
    assert reply[0].startswith("ERROR TOOLARGE")
    assert reply[1:] == [f"READY {ends or 'I'} -"]
    await check_in_step(caller, state=ends or "I")
    if ends:
        assert (await caller.execute("COMMIT"))[0].startswith("COMPLETE sig")
        assert (await caller.execute("READ 1a4"))[0] == "DATAROW data"
    assert all("1a5" not in text for _, text in list_runs(system))


async def test_largest_message_is_served(system, connect):
    caller = await connect("booking")
    head = "WRITE 1a4 \n"
    data = "y" * (MAXIMUM_LINE_BYTES - len(head) - len("QUERY 5c "))
    reply = await caller.send_line(encode_message(f"QUERY 5c {head}{data}"))
    assert reply[0].startswith("COMPLETE sig")
    assert list_runs(system) == [("5c", head + data)]


async def test_message_over_the_limit_is_answered_before_its_end(system, connect):
    caller = await connect("booking")
    caller.writer.write(b"QUERY 5c WRITE 1a4 " + b"\r" * (MAXIMUM_LINE_BYTES + 1))
    async with asyncio.timeout(1.0):
        reply = await caller.read_reply()
    assert reply[0].startswith("ERROR TOOLARGE")
    for piece in (b"x\n", b"\n" * 10, b"\r", b"\n"):
        caller.writer.write(piece)
        await asyncio.sleep(0.02)
    await check_in_step(caller)


async def test_message_without_an_end_takes_bounded_memory_and_time(system, connect):
    document = build_document(2)
    document["limits"]["headerTimeoutMs"] = 700
    await system.change_document(document)
    caller = await connect("booking")
    sending = asyncio.create_task(send_endless(caller, b"x" * 65536))
    async with asyncio.timeout(3.0):
        reply = await caller.read_reply()
        assert reply[0].startswith("ERROR TOOLARGE")
        stream = get_connection(system).stream
        while system.proxies[0].proxy.listener.connections:
            assert len(stream.buffer) <= MAXIMUM_LINE_BYTES + 512 * 1024
            await asyncio.sleep(0.01)
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)


@pytest.mark.parametrize("start", [b"QUERY 5c WRITE 1a4 data\n", b"\r", b"Q"])
async def test_caller_that_owes_the_rest_of_a_message_is_not_awaited(
    system, connect, start
):
    # Before, a session waited for the rest of a message without a limit.
    document = build_document(2)
    document["limits"]["headerTimeoutMs"] = 300
    await system.change_document(document)
    caller = await connect("booking")
    caller.writer.write(start)
    async with asyncio.timeout(2.0):
        reply = await caller.read_reply()
        assert reply[0].startswith("ERROR MALFORMED")
        assert await caller.read_reply() == []
    assert list_runs(system) == []


async def test_session_that_is_idle_between_messages_is_kept(system, connect):
    document = build_document(2)
    document["limits"]["headerTimeoutMs"] = 200
    await system.change_document(document)
    caller = await connect("booking")
    await check_in_step(caller)
    await asyncio.sleep(0.6)
    await check_in_step(caller)


async def test_startup_over_the_limit_is_rejected_with_an_error(system, connect):
    address = system.proxies[0].proxy.settings.caller_address
    async with LineCaller(address, "b" * (MAXIMUM_LINE_BYTES + 1)) as caller:
        assert caller.startup_reply.startswith("ERROR TOOLARGE")
        assert await caller.read_reply() == []
    async with LineCaller(address, "booking") as caller:
        await check_in_step(caller)


async def test_answers_to_malformed_messages_wait_for_a_caller_that_reads_nothing(
    system, connect
):
    # Before, the answers to messages that can't be parsed piled up in the proxy.
    caller = await connect("booking")
    stream = get_connection(system).stream
    stream.pause_writing()
    caller.writer.write(b"nonsense\r\n" * 3)
    await caller.read_reply()
    second = asyncio.create_task(caller.read_reply())
    await asyncio.sleep(0.2)
    assert not second.done()
    stream.resume_writing()
    assert (await second)[0].startswith("ERROR MALFORMED")
    assert (await caller.read_reply())[0].startswith("ERROR MALFORMED")
    await check_in_step(caller)


@pytest.mark.parametrize(
    "texts",
    [
        ["PREPARE s WRITE {}"],
        ["PREPARE s READ q", "EXECUTE s {}"],
        ["PREPARE s WRITE q", "EXECUTE s 1a4 {}"],
        ["READ {}"],
        ["BEGIN READ", "READ {}"],
    ],
)
@pytest.mark.parametrize("spare", [0, 60, 200])
async def test_message_that_grows_on_its_way_is_served_or_rejected_unrun(
    system, connect, texts, spare
):
    # What the proxy adds (a position, its own name of a prepared statement) took the
    # message past the limit: the upstream closed the connection, again and again.
    caller = await connect("confirmation")
    await caller.execute("WRITE 1a3 data")
    *first, last = texts
    for text in first:
        assert (await caller.execute(text))[0].startswith("COMPLETE")
    padding = MAXIMUM_LINE_BYTES - spare - len("QUERY 5c ") - len(last) + len("{}")
    reply = await caller.send_line(
        encode_message("QUERY 5c " + last.format("y" * padding))
    )
    assert reply[0].startswith("ERROR TOOLARGE") or reply[-2].startswith("COMPLETE")
    if spare == 200:
        assert reply[-2].startswith("COMPLETE")
    elif last.startswith("PREPARE") and reply[0] == "COMPLETE -":
        assert (await caller.execute("EXECUTE s 1a4 x"))[0].startswith("COMPLETE sig")
    assert all(upstream.connections < 20 for upstream in system.upstreams.values())
    if "BEGIN READ" in texts:
        assert (await caller.execute("COMMIT"))[0].startswith("COMPLETE")
    await check_in_step(caller)


async def test_error_of_an_upstream_fits_one_message(system, connect):
    caller = await connect("booking")
    text = "\n" * (MAXIMUM_LINE_BYTES - 20)
    for upstream in system.upstreams.values():
        upstream.faults.rejections.append(f"FAILED {text}")
    await caller.execute("BEGIN")
    reply = await caller.execute("WRITE 1a4 data")
    assert reply[0].startswith("ERROR ") and len(reply[0]) <= MAXIMUM_LINE_BYTES
    assert reply[1] == "READY E -"


# Replies of an upstream that don't answer one statement, by the outcome that a write
# may have; a read goes elsewhere or fails.
FORGED = "COMPLETE forged"
READY = "READY I 1.1"
BROKEN_REPLIES = [
    [READY],
    ["DATAROW x", READY],
    ["COMPLETE", READY],
    ["COMPLETE ", READY],
    ["COMPLETE forged\nREADY I 1.1"],
    [FORGED, "READY I 1.1\n"],
    [FORGED, "READY\nI 1.1"],
    [FORGED, "READY I\n1.1"],
    ["DATAROW\nx", FORGED, READY],
    ["", FORGED, READY],
]


@pytest.mark.parametrize("reply", BROKEN_REPLIES)
@pytest.mark.parametrize("text", ["WRITE 1a4 data", "READ 1a4"])
async def test_reply_that_is_not_whole_is_no_success(system, connect, text, reply):
    caller = await connect("booking")
    await caller.execute("WRITE 1a4 data")
    for upstream in system.upstreams.values():
        upstream.faults.replies.append(reply)
    answer = await caller.execute(text)
    assert len(answer) in (2, 3) and answer[-1] == "READY I -"
    if text.startswith("WRITE"):
        assert answer[0].startswith(("ERROR INDOUBT", "ERROR TIMEOUT"))
    else:
        assert answer[0] == "DATAROW data" or answer[0].startswith("ERROR ")
    for upstream in system.upstreams.values():
        upstream.faults.replies.clear()
    # After a reply that never ended, the upstream is silent until a probe is answered.
    async with asyncio.timeout(3.0):
        while (await caller.execute("READ 1a4"))[0].startswith("ERROR BUSY"):
            await asyncio.sleep(0.05)
    await check_in_step(caller)


@pytest.mark.parametrize("in_transaction", [False, True])
async def test_reply_that_was_not_asked_for_answers_nothing(
    system, connect, in_transaction
):
    # Before, what an upstream sent after a reply was taken for the next reply.
    caller = await connect("booking")
    if in_transaction:
        await caller.execute("BEGIN")
        await caller.execute("READ other-item")
    ready = "READY T 1.1" if in_transaction else READY
    for upstream in system.upstreams.values():
        upstream.faults.replies.append([FORGED, ready, "DATAROW x", FORGED, ready])
    await caller.execute("READ 1a4")
    for upstream in system.upstreams.values():
        upstream.faults.replies.clear()
    await asyncio.sleep(0.05)
    if in_transaction:
        reply = await caller.execute("READ other-item")
        assert reply[0].startswith("ERROR ABORTED") and reply[1] == "READY E -"
        assert (await caller.execute("ROLLBACK")) == ["COMPLETE -", "READY I -"]
    await check_in_step(caller)


@pytest.mark.parametrize("cut", [1, 30, -2, -1])
async def test_shutdown_answers_a_message_whose_rest_is_on_its_way(
    system, connect, cut
):
    # Before, a session was idle until the last byte of a message had arrived.
    caller = await connect("booking")
    message = encode_message("QUERY 5c WRITE 1a4 first\nsecond\r")
    caller.writer.write(message[:cut])
    await asyncio.sleep(0.05)
    get_connection(system).close_when_idle()
    await asyncio.sleep(0.05)
    caller.writer.write(message[cut:])
    reply = await caller.read_reply()
    assert reply[0].startswith("COMPLETE sig") and reply[1] == "READY I -"
    assert await caller.read_reply() == []


@pytest.mark.parametrize("text", ["WRITE 1a4 data", "READ 1a4", "BEGIN"])
async def test_row_over_the_limit_is_no_success(system, connect, text):
    caller = await connect("booking")
    await caller.execute("WRITE 1a4 data")
    if text == "BEGIN":
        await caller.execute(text)
    for upstream in system.upstreams.values():
        row = "DATAROW " + "\n" * (MAXIMUM_LINE_BYTES + 1)
        upstream.faults.replies.append([row, FORGED, READY])
    answer = await caller.execute("READ 1a4" if text == "BEGIN" else text)
    assert answer[0] == "DATAROW data" or answer[0].startswith("ERROR ")
    for upstream in system.upstreams.values():
        upstream.faults.replies.clear()
    if text == "BEGIN":
        # A first statement that has no whole reply may be repeated elsewhere.
        is_failed = answer[0].startswith("ERROR ")
        assert answer[-1] == ("READY E -" if is_failed else "READY T -")
        assert await caller.execute("ROLLBACK") == ["COMPLETE -", "READY I -"]
    await check_in_step(caller)


async def test_largest_row_is_answered(system, connect):
    caller = await connect("booking")
    data = "\n" * (MAXIMUM_LINE_BYTES - len("DATAROW "))
    for upstream in system.upstreams.values():
        upstream.faults.replies.append([f"DATAROW {data}", FORGED, READY])
    assert (await caller.execute("READ 1a4"))[0] == f"DATAROW {data}"
