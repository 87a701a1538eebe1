"""Messages of callers that are too long, or whose end doesn't come (issue 41).

They take bounded memory and time, nothing of them runs, and the next message of the
session gets its own answer.
"""

import asyncio

import pytest

from ebonyrack.core.line_stream import MAXIMUM_LINE_BYTES
from ebonyrack.entry.conftest import check_in_step
from ebonyrack.entry.conftest import get_connection
from ebonyrack.entry.conftest import list_runs
from ebonyrack.standins.line_messages import encode_message
from ebonyrack.standins.line_system import LineCaller
from ebonyrack.standins.line_system import build_document


async def send_endless(caller, data):
    """Send bytes without an end for as long as the proxy reads them."""
    while not caller.writer.is_closing():
        caller.writer.write(data)
        await caller.writer.drain()
        await asyncio.sleep(0.01)


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
