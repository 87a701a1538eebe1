"""Statements that are handed to homes keep every byte, as one message (issue 41)."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.core.line_stream import MAXIMUM_LINE_BYTES
from ebonyrack.handover.statement_messages import HandedAnswer
from ebonyrack.handover.statement_messages import HandedDeclined
from ebonyrack.handover.statement_messages import HandedStatement
from ebonyrack.peers.codec import pack_message
from ebonyrack.peers.frames import FrameStream
from ebonyrack.peers.frames import Traffic
from ebonyrack.standins.line_messages import encode_message

INNER = "QUERY 5d WRITE 2b5 second"
CHARACTERS = ["\n", "\r", "\n\r", "\x00", "\x85", "\u2028", "\udcff"]


def list_runs(fleet):
    return [(each.request_id, each.text) for each in fleet.records]


def assert_handed_over(fleet):
    """Check that homes have answered and that no link to one has failed."""
    assert fleet.states
    assert all(state.failing_since_s is None for state in fleet.states)


@pytest.mark.parametrize("character", CHARACTERS)
async def test_handed_statements_and_rows_keep_every_byte(fleet, connect, character):
    caller = await connect()
    data = f"{character}first{character}{INNER}{character}"
    request_id = f"5c{character}QUERY"
    message = encode_message(f"QUERY {request_id} WRITE 1{character}a4 {data}")
    assert (await caller.send_line(message))[0].startswith("COMPLETE sig")
    reply = await caller.execute(f"READ 1{character}a4")
    assert reply[0] == f"DATAROW {data}" and len(reply) == 3
    assert list_runs(fleet) == [
        (request_id, f"WRITE 1{character}a4 {data}"),
        (caller.request_id, f"READ 1{character}a4"),
    ]
    assert_handed_over(fleet)


@pytest.mark.parametrize("character", CHARACTERS)
async def test_handed_transactions_keep_values_and_prepared_statements(
    fleet, connect, character
):
    caller = await connect()
    name, value = f"zo{character}ne", f"{character}far{character}"
    shape, data = f"q{character}{INNER}", f"data{character}{INNER}{character}"
    await caller.execute(f"SET {name} {value}")
    await caller.execute(f"PREPARE s{character} WRITE {shape}")
    await caller.execute("BEGIN")
    reply = await caller.execute(f"EXECUTE s{character} 1a4 {data}")
    assert reply[0].startswith("COMPLETE sig")
    assert (await caller.execute("READ 1a4"))[0] == f"DATAROW {data}"
    assert (await caller.execute("COMMIT"))[0].startswith("COMPLETE sig")
    texts = [each.text for each in fleet.records]
    assert texts[0].endswith(f" 1a4 {data}") and texts[1:] == ["READ 1a4", "COMMIT"]
    assert all(each.values == ((name, value),) for each in fleet.records)
    prepared = [
        each.text
        for each in fleet.system.group.records
        if each.text.startswith("PREPARE ")
    ]
    assert prepared and all(text.endswith(f" WRITE {shape}") for text in prepared)
    assert_handed_over(fleet)


async def test_error_of_an_upstream_is_handed_back_as_one_message(fleet, connect):
    caller = await connect()
    for upstream in fleet.system.upstreams.values():
        upstream.faults.rejections.append("FAILED a\nREADY I 9.9\udcff")
    reply = await caller.execute("WRITE 1a4 data")
    assert reply[0].startswith("ERROR FAILED ") and "a\nREADY I 9.9\\xff" in reply[0]
    assert reply[1:] == ["READY I -"]


def build_question(fleet, **changes):
    fields = {
        "version": 1,
        "sender_version": 1,
        "database": b"booking",
        "account": "",
        "transaction": 0,
        "begins": "",
        "kind": "write",
        "request_id": b"5c",
        "text": b"WRITE 1a4 data",
        "name": b"",
        "argument": b"",
        "prepared_text": None,
        "prepared_writes": False,
        "values": {},
        "last_commit": [],
        "waited_s": 0.0,
    }
    return HandedStatement(**{**fields, **changes})


@pytest.mark.parametrize(
    "changes",
    [
        {"text": b"WRITE 1a4 data\r\nQUERY 5d WRITE 2b5 second"},
        {"request_id": b"5c WRITE 1a4 x\r\nQUERY 5d"},
        {"request_id": b"5c WRITE"},
        # Upstreams would take it for a statement of the proxy's own.
        {"request_id": None},
        {"request_id": b""},
        {"kind": "execute", "name": b"", "argument": b"a", "prepared_text": b"q"},
        {"values": {b"": b"far"}},
        {
            "kind": "execute",
            "name": b"s",
            "argument": b"1a4 x\r\n",
            "prepared_text": b"",
        },
        {"kind": "execute", "name": b"s", "argument": b"a", "prepared_text": b"q\r\nQ"},
        {"values": {b"zone": b"far\r\nQUERY 5d WRITE 2b5 second"}},
        {"values": {b"zone far\r\n": b""}},
        {"values": {b"zone far": b""}},
    ],
)
async def test_home_runs_nothing_that_is_more_than_one_message(fleet, changes):
    # Proxies of other versions may send what this one would have split or rejected.
    home = fleet.homes[0]
    answer = await home.home.answer("another", build_question(fleet, **changes))
    assert isinstance(answer, HandedDeclined)
    assert list_runs(fleet) == []
    served = await home.home.answer("another", build_question(fleet))
    assert served.signature is not None


async def test_statement_with_a_long_id_breaks_no_link(fleet, connect):
    # A link that breaks ends the transactions of other callers.
    other = await connect()
    await other.execute("BEGIN")
    await other.execute("WRITE other data")
    caller = await connect()
    for name in ("a", "b"):
        await caller.execute(f"SET {name} " + "v" * 750_000)
    request_id = "i" * (MAXIMUM_LINE_BYTES - 100)
    reply = await caller.send_line(encode_message(f"QUERY {request_id} WRITE 1a4 x"))
    assert reply[0].startswith("COMPLETE sig")
    assert_handed_over(fleet)
    assert (await other.execute("COMMIT"))[0].startswith("COMPLETE sig")


ANY_BYTES = st.binary(max_size=40) | st.sampled_from(
    [b"\r\n", b"\n", b"a\r\nQUERY 1 X"]
)


@given(
    st.builds(
        HandedStatement,
        version=st.integers(0, 9),
        sender_version=st.integers(0, 9),
        database=ANY_BYTES,
        account=st.text(st.characters(codec="utf-8"), max_size=5),
        transaction=st.integers(0, 9),
        begins=st.sampled_from(["", "begin"]),
        kind=st.sampled_from(["read", "execute"]),
        request_id=st.none() | ANY_BYTES,
        text=ANY_BYTES,
        name=ANY_BYTES,
        argument=ANY_BYTES,
        prepared_text=st.none() | ANY_BYTES,
        prepared_writes=st.booleans(),
        values=st.dictionaries(ANY_BYTES, ANY_BYTES, max_size=3),
        last_commit=st.sampled_from([[], [1, 2]]),
        waited_s=st.just(0.5),
    )
    | st.builds(
        HandedAnswer,
        rows=st.lists(ANY_BYTES, max_size=4),
        more_rows=st.integers(0, 3),
        signature=st.none() | ANY_BYTES,
        position=st.sampled_from([[], [1, 2]]),
        error=st.just(""),
        reason=st.text(st.characters(codec="utf-8"), max_size=20),
        retry_after_s=st.none(),
        version=st.integers(0, 9),
    ),
    st.lists(st.integers(0, 10_000), max_size=8),
)
def test_messages_between_proxies_keep_every_byte(message, cuts):
    data = pack_message(message, 7) + pack_message(HandedDeclined("next"), 8)
    places = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]

    async def run():
        reader = asyncio.StreamReader()
        stream = FrameStream(reader, None, Traffic())
        stream.accept_full_frames()
        first = asyncio.create_task(stream.read_frame())
        for start, end in zip(places, places[1:], strict=False):
            reader.feed_data(data[start:end])
            await asyncio.sleep(0)
        return await first, await stream.read_frame()

    assert asyncio.run(run()) == ((message, 7), (HandedDeclined("next"), 8))
