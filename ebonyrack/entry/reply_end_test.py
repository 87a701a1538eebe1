"""Replies of upstreams that are too long, not whole or not asked for (issue 41)."""

import asyncio

import pytest

from ebonyrack.core.line_stream import MAXIMUM_LINE_BYTES
from ebonyrack.entry.conftest import check_in_step

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
    [FORGED, "DATAROW x", READY],
    [FORGED, "ERROR BUSY x", READY],
    ["ERROR BUSY x", FORGED, READY],
    [FORGED, FORGED, READY],
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


async def test_error_of_an_upstream_fits_one_message(system, connect):
    caller = await connect("booking")
    text = "\n" * (MAXIMUM_LINE_BYTES - 20)
    for upstream in system.upstreams.values():
        upstream.faults.rejections.append(f"FAILED {text}")
    await caller.execute("BEGIN")
    reply = await caller.execute("WRITE 1a4 data")
    assert reply[0].startswith("ERROR ") and len(reply[0]) <= MAXIMUM_LINE_BYTES
    assert reply[1] == "READY E -"


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
