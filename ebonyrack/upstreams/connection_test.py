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
from ebonyrack.upstreams.conftest import build_error
from ebonyrack.upstreams.conftest import build_response
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.expected_replies import count_expected_replies
from ebonyrack.upstreams.opening import open_connection
from ebonyrack.upstreams.transport import MAXIMUM_FRAME_BYTES

TIMEOUT_S = 10.0


async def connect(upstream, password="", timeout_s=TIMEOUT_S):
    return await open_connection(
        upstream.address, "ebonyrack", password, "booking", timeout_s
    )


async def test_query_returns_the_whole_result(upstream):
    connection = await connect(upstream)
    result = await connection.query("SELECT 7", TIMEOUT_S)
    assert (result.columns, result.rows) == (("value",), (("SELECT 7",),))
    assert result.tag == "SELECT 1"
    assert connection.is_clean
    connection.close()


async def test_error_response_is_returned(upstream):
    upstream.responses["bad"] = build_error("42601") + build_response("", b"E")[-6:]
    connection = await connect(upstream)
    result = await connection.query("bad", TIMEOUT_S)
    assert result.error["C"] == "42601"
    assert connection.transaction_status == "E"
    assert not connection.is_clean
    connection.close()


async def test_scram_succeeds_with_the_right_password(upstream):
    upstream.password = "kite"
    connection = await connect(upstream, "kite")
    assert connection.is_clean
    connection.close()


@pytest.mark.parametrize(
    "password, reason", [("wrong", "28P01"), ("", "cannot authenticate")]
)
async def test_scram_fails_with_another_password(upstream, password, reason):
    upstream.password = "kite"
    with pytest.raises(UpstreamLostError, match=reason):
        await connect(upstream, password)


async def test_scram_fails_if_the_upstream_cannot_prove_the_password(upstream):
    upstream.password = "kite"
    upstream.signs_correctly = False
    with pytest.raises(UpstreamLostError, match="SCRAM failed"):
        await connect(upstream, "kite")


@pytest.mark.parametrize("code", [3, 5])
async def test_clear_text_and_md5_are_rejected(code):
    async def request_authentication(reader, writer):
        writer.write(b"R" + struct.pack("!II4s", 12, code, b"salt"))
        await reader.read()
        writer.close()

    server = await asyncio.start_server(request_authentication, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    async with server:
        with pytest.raises(UpstreamLostError, match="not supported"):
            await open_connection(address, "ebonyrack", "kite", "booking", TIMEOUT_S)


async def test_rejected_session_carries_the_sqlstate(upstream):
    upstream.limit = 0
    with pytest.raises(UpstreamLostError) as caught:
        await connect(upstream)
    assert caught.value.sqlstate == "53300"


async def test_timed_out_query_closes_the_connection(upstream):
    upstream.silent.add("slow")
    connection = await connect(upstream)
    with pytest.raises(UpstreamLostError, match="no reply.*within 0.010 s"):
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


async def test_connection_with_a_pending_reply_is_not_clean(upstream):
    connection = await connect(upstream)
    connection.send(Query(query_string="a").to_wire())
    assert not connection.is_clean
    with pytest.raises(UpstreamLostError):
        await connection.query("b", TIMEOUT_S)
    assert connection.is_closed


async def test_unexpected_ready_for_query_loses_the_connection(upstream):
    upstream.responses["a"] = build_response("1") + build_response("2")
    connection = await connect(upstream)
    await connection.query("a", TIMEOUT_S)
    with pytest.raises(UpstreamLostError, match="unexpected ReadyForQuery"):
        while True:
            await connection.read_message()
    assert not connection.is_clean


async def test_connection_lost_within_a_response_raises(upstream):
    upstream.responses["a"] = build_response("1")[:-3]
    connection = await connect(upstream)
    connection.send(Query(query_string="a").to_wire())
    kinds = [(await connection.read_message()).kind for _ in range(3)]
    assert kinds == [b"T", b"D", b"C"]
    upstream.drop_sessions()
    with pytest.raises(UpstreamLostError):
        await connection.read_message()


@pytest.mark.parametrize("length", [0, 3, MAXIMUM_FRAME_BYTES + 1])
async def test_frame_of_invalid_length_closes_the_connection(upstream, length):
    upstream.responses["a"] = struct.pack("!cI", b"D", length)
    connection = await connect(upstream)
    with pytest.raises(UpstreamLostError, match="frame"):
        await connection.query("a", TIMEOUT_S)
    assert connection.is_closed


async def test_frame_larger_than_the_buffer_is_read_whole(upstream):
    text = "x" * 1_000_000
    upstream.responses["a"] = build_response(text)
    connection = await connect(upstream)
    result = await connection.query("a", TIMEOUT_S)
    assert result.rows == ((text,),)
    connection.close()


async def test_reading_pauses_while_messages_are_not_consumed(upstream):
    upstream.responses["a"] = build_response("x" * 1000)[:-6] * 20000
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


async def test_refused_connection_raises(upstream):
    address = upstream.address
    await upstream.stop()
    with pytest.raises(UpstreamLostError):
        await open_connection(address, "ebonyrack", "", "booking", TIMEOUT_S)


def test_expected_replies_are_counted_by_query_and_sync():
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


async def test_promotion_is_reported_before_the_next_ready_for_query():
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
