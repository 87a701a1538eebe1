"""Robustness against invalid bytes, oversized frames and incomplete messages."""

import asyncio
import struct
from contextlib import AsyncExitStack

import pytest
from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from pygwire.messages import Query
from pygwire.messages import StartupMessage

from ebonyrack.callers.conftest import FLUSH
from ebonyrack.callers.conftest import GROUP
from ebonyrack.callers.conftest import SYNC
from ebonyrack.callers.conftest import USER
from ebonyrack.callers.conftest import bind
from ebonyrack.callers.conftest import describe
from ebonyrack.callers.conftest import execute
from ebonyrack.callers.conftest import join_kinds
from ebonyrack.callers.conftest import open_proxy
from ebonyrack.callers.conftest import parse
from ebonyrack.callers.conftest import wait_until
from ebonyrack.callers.prepared import build_frame

START = StartupMessage(params={"user": USER, "database": GROUP}).to_wire()
MAXIMUM_ANSWER_BYTES = 1 << 20

VALID = strategies.sampled_from(
    [
        Query(query_string="SELECT 1").to_wire(),
        Query(query_string="BEGIN").to_wire(),
        Query(query_string="INSERT INTO bookings (slot) VALUES (1)").to_wire(),
        Query(query_string="COMMIT").to_wire(),
        Query(query_string="").to_wire(),
        parse(b"", b"SELECT 1"),
        parse(b"s", b"SELECT count(*) FROM bookings"),
        parse(b"b", b"BEGIN"),
        bind(b""),
        bind(b"s", b"p"),
        bind(b"b"),
        describe(b"S", b"s"),
        describe(b"P", b"p"),
        describe(b"X", b""),
        execute(),
        execute(b"p", 1),
        SYNC,
        FLUSH,
        b"F\x00\x00\x00\x04",
        b"d\x00\x00\x00\x04",
        b"p\x00\x00\x00\x04",
        b"X\x00\x00\x00\x04",
    ]
)
FRAMES = strategies.builds(
    lambda kind, body: kind + struct.pack("!I", len(body) + 4) + body,
    strategies.binary(min_size=1, max_size=1),
    strategies.binary(max_size=40),
)
LENGTHS = strategies.builds(
    lambda kind, length: kind + struct.pack("!I", length),
    strategies.sampled_from([b"Q", b"P", b"B", b"S"]),
    strategies.integers(0, 2**32 - 1),
)
STREAMS = strategies.lists(
    strategies.one_of(VALID, VALID, FRAMES, LENGTHS, strategies.binary(max_size=30)),
    max_size=12,
).map(b"".join)


async def send_and_read_to_end(proxy, data):
    """Send bytes and EOF, then read the answer to its end."""
    caller = await proxy.open_wire()
    caller.send(data)
    caller.writer.write_eof()
    try:
        assert len(await caller.read_to_end()) < MAXIMUM_ANSWER_BYTES
    except ConnectionError:
        return
    finally:
        caller.abort()


@pytest.mark.parametrize("prefix", [b"", START])
def test_arbitrary_bytes_leak_no_task_session_or_connection(prefix):
    with asyncio.Runner() as runner:
        stack = AsyncExitStack()
        opening = open_proxy(proxy={"maximum_message_bytes": 4096})
        proxy = runner.run(stack.enter_async_context(opening))

        @settings(
            max_examples=150,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        )
        @given(STREAMS)
        def send(data):
            runner.run(send_and_read_to_end(proxy, prefix + data))

        try:
            send()
            runner.run(check_no_leaks(proxy))
        finally:
            runner.run(stack.aclose())


async def check_no_leaks(proxy):
    """Check that no task, session or connection is left and callers are served."""
    await wait_until(lambda: not proxy.listener.tasks)
    assert not proxy.sessions
    for upstream in proxy.group.upstreams.values():
        assert not upstream.pool.busy
    caller = await proxy.start_wire()
    assert join_kinds(await caller.query("SELECT 1")) == "TDCZ"


@pytest.mark.parametrize("length", [0, 3, 4097, 2**31, 2**32 - 1])
async def test_frame_of_invalid_length_is_rejected(length):
    async with open_proxy(proxy={"maximum_message_bytes": 4096}) as proxy:
        caller = await proxy.start_wire()
        caller.send(b"Q" + struct.pack("!I", length))
        assert b"C08P01" in await caller.read_to_end()


async def test_frame_longer_than_read_buffer_is_served(proxy):
    caller = await proxy.start_wire()
    value = b"x" * 200_000
    body = struct.pack("!hhI", 0, 1, len(value)) + value + struct.pack("!h", 0)
    frames = await caller.send_and_read(
        parse(b"", b"SELECT $1::text"),
        build_frame(b"B", b"\x00\x00" + body),
        execute(),
        SYNC,
    )
    assert join_kinds(frames) == "12DCZ"
    assert frames[2][1].endswith(value)
