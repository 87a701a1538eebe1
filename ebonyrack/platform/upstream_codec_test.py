import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from ebonyrack.core.line_stream import LineStream
from ebonyrack.core.line_stream import StreamLostError
from ebonyrack.core.position import LogPosition
from ebonyrack.platform.upstream_codec import LineUpstreamCodec
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.reply import TransactionState
from ebonyrack.requests.request import BEGIN_REQUEST
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import RequestKind
from ebonyrack.requests.request import build_pause_request

CODEC = LineUpstreamCodec()


async def test_reply_with_rows_position_and_state_is_parsed(feed):
    data = b"DATAROW a b\r\nCOMPLETE 7.1f\r\nREADY T 3.1209\r\n"
    reply = await CODEC.read_reply(feed(data))
    assert reply.rows == [b"a b"]
    assert reply.signature == b"7.1f"
    assert reply.state is TransactionState.OPEN
    assert reply.position == LogPosition(3, 1209)


async def test_rejection_is_parsed(feed):
    reply = await CODEC.read_reply(feed(b"ERROR READONLY i-7f\r\nREADY E -\r\n"))
    assert reply.rejection is RejectionKind.READ_ONLY
    assert reply.rejection.is_not_run
    assert reply.position is None


async def test_unknown_error_code_does_not_imply_not_run(feed):
    reply = await CODEC.read_reply(feed(b"ERROR ODD x\r\nREADY I 1.1\r\n"))
    assert reply.rejection is RejectionKind.OTHER
    assert not reply.rejection.is_not_run


async def test_rejected_startup_ends_with_the_connection(feed):
    reply = await CODEC.read_reply(feed(b"ERROR TOOMANY -\r\n"))
    assert reply.rejection is RejectionKind.TOO_MANY_CONNECTIONS


@pytest.mark.parametrize(
    "data",
    [b"DATAROW a\r\n", b"READY X 1.1\r\n", b"READY I one\r\n", b"HELLO\r\n", b""],
)
async def test_incomplete_or_invalid_reply_loses_the_connection(feed, data):
    with pytest.raises(StreamLostError):
        await CODEC.read_reply(feed(data))


# Guards against two replies that are taken for one: a reply without READY, or one that
# was cut off, and the next one.
@pytest.mark.parametrize("outcome", [b"COMPLETE 1", b"ERROR BUSY -"])
@pytest.mark.parametrize(
    "message", [b"DATAROW a", b"COMPLETE 2", b"ERROR FAILED x", b"ERROR BUSY -"]
)
async def test_only_ready_follows_an_outcome(feed, outcome, message):
    data = b"\r\n".join((b"DATAROW b", outcome, message, b"READY I 1.1", b""))
    with pytest.raises(StreamLostError):
        await CODEC.read_reply(feed(data))


@given(st.binary(max_size=300))
def test_arbitrary_bytes_give_a_reply_or_lose_the_connection(data):
    stream = LineStream()
    stream.buffer += data
    stream.mark_lost("ended")
    try:
        reply = asyncio.run(CODEC.read_reply(stream))
    except StreamLostError:
        return
    assert isinstance(reply, Reply)


def test_statements_are_encoded():
    read = Request(RequestKind.READ, b"5c", b"READ 1a4")
    assert CODEC.encode_request(read) == b"QUERY 5c READ 1a4\r\n"
    placed = read.with_position(LogPosition(3, 1207))
    assert CODEC.encode_request(placed) == b"QUERY 5c AFTER 3.1207 READ 1a4\r\n"
    assert CODEC.encode_request(BEGIN_REQUEST) == b"QUERY - BEGIN\r\n"
    assert CODEC.encode_request(build_pause_request(4)) == b"QUERY - PAUSE 4\r\n"
    assert CODEC.encode_start("g", "i-1", "") == b"STARTUP g ebonyrack i-1\r\n"
    assert CODEC.encode_start("g", "i-1", "t7") == b"STARTUP g t7 i-1\r\n"


def test_status_is_parsed():
    reply = Reply(rows=[b"replica 3 3.1209 0 12 2 17"])
    status = CODEC.read_status(reply).ok_value
    assert not status.is_primary
    assert (status.term, status.received) == (3, LogPosition(3, 1209))
    assert (status.lag_s, status.busy_slots, status.connections) == (0.012, 2, 17)


@pytest.mark.parametrize("row", [b"replica 3", b"replica x 3.1 0 0 0 0", b""])
def test_malformed_status_is_rejected(row):
    assert isinstance(CODEC.read_status(Reply(rows=[row])), Err)


STATUS = b"replica 3 3.1209 0 12 2 17"


@pytest.mark.parametrize("byte", [b"\n", b"\r", b"\t", b"\x0b", b"\x0c", b"\x85", b" "])
@pytest.mark.parametrize("place", range(len(STATUS) + 1))
def test_status_with_other_characters_than_its_own_is_rejected(place, byte):
    # Fields were split at any white space, and another role was taken for a replica.
    row = STATUS[:place] + byte + STATUS[place:]
    assert isinstance(CODEC.read_status(Reply(rows=[row])), Err)


@pytest.mark.parametrize("role", [b"", b"Primary", b"primary\n", b"standby"])
def test_status_with_an_unknown_role_is_rejected(role):
    row = role + b" 3 3.1209 0 12 2 17"
    assert isinstance(CODEC.read_status(Reply(rows=[row])), Err)
