import asyncio
import struct

import pytest
from pygwire.messages import Bind
from pygwire.messages import Execute
from pygwire.messages import Parse
from pygwire.messages import Query
from pygwire.messages import Sync

from ebonyrack.core.address import Address
from ebonyrack.standins.group import StandinGroup
from ebonyrack.upstreams.conftest import build_answer
from ebonyrack.upstreams.conftest import build_error
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.expected_replies import count_expected_replies
from ebonyrack.upstreams.opening import open_connection
from ebonyrack.upstreams.transport import MAXIMUM_FRAME_BYTES

TIMEOUT_S = 10.0


async def connect(upstream, password="", timeout_s=TIMEOUT_S):
    return await open_connection(
        upstream.address, "ebonyrack", password, "booking", timeout_s
    )


async def test_query_returns_the_whole_answer(upstream):
    connection = await connect(upstream)
    answer = await connection.query("SELECT 7", TIMEOUT_S)
    assert (answer.columns, answer.rows) == (("value",), (("SELECT 7",),))
    assert answer.tag == "SELECT 1"
    assert connection.is_clean
    connection.close()


async def test_error_answers_are_returned(upstream):
    upstream.answers["bad"] = build_error("42601") + build_answer("", b"E")[-6:]
    connection = await connect(upstream)
    answer = await connection.query("bad", TIMEOUT_S)
    assert answer.error["C"] == "42601"
    assert connection.transaction_status == "E"
    assert not connection.is_clean
    connection.close()


async def test_scram_with_the_right_password(upstream):
    upstream.password = "kite"
    connection = await connect(upstream, "kite")
    assert connection.is_clean
    connection.close()


@pytest.mark.parametrize(
    "password, reason", [("wrong", "28P01"), ("", "cannot authenticate")]
)
async def test_scram_with_another_password_is_lost(upstream, password, reason):
    upstream.password = "kite"
    with pytest.raises(UpstreamLostError, match=reason):
        await connect(upstream, password)


async def test_upstream_that_cannot_prove_the_password_is_lost(upstream):
    upstream.password = "kite"
    upstream.proves_itself = False
    with pytest.raises(UpstreamLostError, match="SCRAM failed"):
        await connect(upstream, "kite")


@pytest.mark.parametrize("code", [3, 5])
async def test_clear_text_and_md5_are_refused(code):
    async def ask(reader, writer):
        writer.write(b"R" + struct.pack("!II4s", 12, code, b"salt"))
        await reader.read()
        writer.close()

    server = await asyncio.start_server(ask, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    async with server:
        with pytest.raises(UpstreamLostError, match="not supported"):
            await open_connection(address, "ebonyrack", "kite", "booking", TIMEOUT_S)


async def test_refused_session_carries_the_sqlstate(upstream):
    upstream.limit = 0
    with pytest.raises(UpstreamLostError) as caught:
        await connect(upstream)
    assert caught.value.sqlstate == "53300"


async def test_late_answer_reaches_nobody(upstream):
    upstream.silent.add("slow")
    connection = await connect(upstream)
    with pytest.raises(UpstreamLostError, match="no answer.*within 0.010 s"):
        await connection.query("slow", 0.01)
    assert connection.is_closed
    with pytest.raises(UpstreamLostError):
        await connection.query("next", TIMEOUT_S)


async def test_abandoned_query_closes_the_connection(upstream):
    upstream.silent.add("slow")
    connection = await connect(upstream)
    task = asyncio.create_task(connection.query("slow", TIMEOUT_S))
    while "slow" not in upstream.queries:
        await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert connection.is_closed


async def test_connection_with_an_answer_due_is_not_clean(upstream):
    connection = await connect(upstream)
    connection.send(Query(query_string="a").to_wire())
    assert not connection.is_clean
    with pytest.raises(UpstreamLostError):
        await connection.query("b", TIMEOUT_S)
    assert connection.is_closed


async def test_answer_that_was_not_asked_for_is_not_clean(upstream):
    upstream.answers["a"] = build_answer("1") + build_answer("2")
    connection = await connect(upstream)
    await connection.query("a", TIMEOUT_S)
    with pytest.raises(UpstreamLostError, match="not due"):
        while True:
            await connection.read_message()
    assert not connection.is_clean


async def test_answer_cut_in_the_middle_is_lost(upstream):
    upstream.answers["a"] = build_answer("1")[:-3]
    connection = await connect(upstream)
    connection.send(Query(query_string="a").to_wire())
    kinds = [(await connection.read_message()).kind for _ in range(3)]
    assert kinds == [b"T", b"D", b"C"]
    upstream.drop_sessions()
    with pytest.raises(UpstreamLostError):
        await connection.read_message()


@pytest.mark.parametrize("length", [0, 3, MAXIMUM_FRAME_BYTES + 1])
async def test_frame_of_impossible_length_is_lost(upstream, length):
    upstream.answers["a"] = struct.pack("!cI", b"D", length)
    connection = await connect(upstream)
    with pytest.raises(UpstreamLostError, match="frame"):
        await connection.query("a", TIMEOUT_S)
    assert connection.is_closed


async def test_frame_larger_than_the_buffer_arrives_whole(upstream):
    text = "x" * 1_000_000
    upstream.answers["a"] = build_answer(text)
    connection = await connect(upstream)
    answer = await connection.query("a", TIMEOUT_S)
    assert answer.rows == ((text,),)
    connection.close()


async def test_reading_stops_while_nobody_takes_the_answer(upstream):
    upstream.answers["a"] = build_answer("x" * 1000)[:-6] * 20000
    connection = await connect(upstream)
    connection.send(Query(query_string="a").to_wire())
    await connection.read_message()
    while not connection.frames.is_paused:
        await asyncio.sleep(0)
    assert len(connection.frames.buffer) < 1_000_000
    connection.close()


async def test_cancelled_session_is_not_reused(upstream):
    connection = await connect(upstream)
    await connection.cancel(TIMEOUT_S)
    assert upstream.cancels == [connection.process_id]
    assert not connection.is_clean
    connection.close()


async def test_refused_connection_is_lost(upstream):
    address = upstream.address
    await upstream.stop()
    with pytest.raises(UpstreamLostError):
        await open_connection(address, "ebonyrack", "", "booking", TIMEOUT_S)


def test_answers_due_are_counted_by_query_and_sync():
    extended = Parse(query="SELECT 1").to_wire() + Bind().to_wire()
    extended += Execute().to_wire()
    assert count_expected_replies(extended, False) == (0, True)
    assert count_expected_replies(extended + Sync().to_wire(), False) == (1, False)
    assert count_expected_replies(Query(query_string="a").to_wire() * 2, True) == (
        2,
        False,
    )
    for cut in (2, 6):
        with pytest.raises(ValueError):
            count_expected_replies(Query(query_string="a").to_wire()[:cut], False)


async def test_promotion_is_known_when_the_next_answer_ends():
    async with StandinGroup() as group:
        connection = await connect(group["up-2"])
        assert connection.is_standby is True
        for name in ("up-2", "up-3"):
            await group[name].fence(2)
        await group["up-2"].promote(2)
        connection.send(Query(query_string="SELECT 1").to_wire())
        kinds = [(await connection.read_message()).kind for _ in range(4)]
        assert (kinds, connection.is_standby) == ([b"T", b"D", b"C", b"Z"], False)
        assert connection.is_clean
        connection.close()
