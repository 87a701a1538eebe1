import asyncio
import struct

import psycopg
import pytest
from pygwire.messages import GSSEncRequest
from pygwire.messages import SSLRequest
from pygwire.messages import StartupMessage

from ebonyrack.callers.conftest import GROUP
from ebonyrack.callers.conftest import PASSWORD
from ebonyrack.callers.conftest import USER
from ebonyrack.callers.conftest import find_error
from ebonyrack.callers.conftest import join_kinds
from ebonyrack.callers.conftest import open_proxy
from ebonyrack.callers.conftest import wait_until
from ebonyrack.callers.startup import parse_options
from ebonyrack.core.errors import RequestError

START = StartupMessage(params={"user": USER, "database": GROUP}).to_wire()


@pytest.mark.parametrize(
    "requests", [(SSLRequest, GSSEncRequest), (GSSEncRequest, SSLRequest)]
)
async def test_startup_continues_after_encryption_is_declined(proxy, requests):
    caller = await proxy.open_wire()
    for request in requests:
        caller.send(request().to_wire())
        assert await caller.reader.readexactly(1) == b"N"
    frames = await caller.send_and_read(START)
    assert join_kinds(frames).startswith("RS") and join_kinds(frames).endswith("KZ")


async def test_caller_that_requires_tls_gets_clear_error(proxy):
    with pytest.raises(psycopg.OperationalError, match="does not support SSL"):
        await proxy.connect(sslmode="require")


async def test_newer_protocol_is_negotiated_down(proxy):
    caller = await proxy.open_wire()
    message = StartupMessage(
        params={"user": USER, "database": GROUP, "_pq_.new": "1"},
        protocol_version=(3 << 16) + 2,
    )
    frames = await caller.send_and_read(message.to_wire())
    assert frames[0] == (b"v", struct.pack("!II", 0, 1) + b"_pq_.new\x00")
    assert join_kinds(frames).endswith("KZ")


async def test_password_is_checked():
    async with open_proxy(proxy={"trust_loopback_callers": False}) as proxy:
        async with await proxy.connect(password=PASSWORD) as connection:
            rows = await (await connection.execute("SELECT 1")).fetchall()
            assert rows == [(1,)]
        for user, password in ((USER, "wrong"), ("nobody", PASSWORD)):
            with pytest.raises(psycopg.OperationalError, match="authentication failed"):
                await proxy.connect(user=user, password=password)


@pytest.mark.parametrize(
    ("params", "sqlstate"),
    [
        ({"database": "unknown"}, "3D000"),
        ({"database": "other"}, "42501"),
        ({"user": "nobody"}, "28P01"),
        ({"replication": "database"}, "0A000"),
        ({"options": "-c ebonyrack.token=forged"}, "22023"),
        ({"options": "-c work_mem=1GB"}, "0A000"),
        ({"timezone": "Asia/Tokyo"}, "0A000"),
    ],
)
async def test_unsupported_or_unauthorized_startup_is_rejected(proxy, params, sqlstate):
    caller = await proxy.open_wire()
    message = StartupMessage(params={"user": USER, "database": GROUP, **params})
    caller.send(message.to_wire())
    frames = [await caller.read_frame()]
    while frames[-1][0] != b"E":
        frames.append(await caller.read_frame())
    assert find_error(frames)[0] == sqlstate
    assert await caller.read_to_end() == b""


async def test_number_of_callers_is_limited():
    async with open_proxy(application={"maximum_callers": 1}) as proxy:
        first = await proxy.connect()
        with pytest.raises(psycopg.OperationalError, match="no more connections"):
            await proxy.connect()
        await first.close()
        await wait_until(lambda: not proxy.sessions)
        await (await proxy.connect()).close()


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x00\xff\xff\x00\x03\x00\x00",
        b"\x00\x00\x00\x04",
        b"\x00\x00\x00\x08\x00\x09\x00\x00",
        SSLRequest().to_wire() * 3,
        SSLRequest().to_wire() + START,
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
async def test_invalid_startup_closes_connection(proxy, data):
    caller = await proxy.open_wire()
    caller.send(data)
    answer = await caller.read_to_end()
    assert b"C08P01" in answer
    await wait_until(lambda: not proxy.listener.tasks)


async def test_incomplete_startup_times_out():
    async with open_proxy(proxy={"startup_timeout_s": 0.01}) as proxy:
        caller = await proxy.open_wire()
        caller.send(START[:10])
        assert b"C08P01" in await caller.read_to_end()
        await wait_until(lambda: not proxy.listener.tasks)


async def test_caller_lost_during_startup_leaks_no_task_or_session(proxy):
    caller = await proxy.open_wire()
    caller.send(START[:10])
    await wait_until(lambda: proxy.listener.tasks)
    caller.abort()
    await wait_until(lambda: not proxy.listener.tasks)
    await asyncio.sleep(0)
    assert not proxy.sessions


def test_options_are_parsed():
    text = r"-c ebonyrack.token=ab\ c  --ebonyrack.max-age=5s"
    assert parse_options(text) == {
        "ebonyrack.token": "ab c",
        "ebonyrack.max_age": "5s",
    }
    with pytest.raises(RequestError):
        parse_options("-B 5")
