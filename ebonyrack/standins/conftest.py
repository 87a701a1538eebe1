"""Fixtures for psycopg connections to a stand-in group."""

from collections.abc import AsyncIterator
from typing import Any

import psycopg
import pytest

from ebonyrack.standins.group import StandinGroup
from ebonyrack.standins.upstream import StandinUpstream

INSERT = "INSERT INTO bookings (slot, booker, request) VALUES (%s, %s, %s)"

Connection = psycopg.AsyncConnection[Any]


async def connect(
    upstream: StandinUpstream, autocommit: bool = True, **options: Any
) -> Connection:
    """Open a psycopg connection to an upstream."""
    address = upstream.address
    return await psycopg.AsyncConnection.connect(
        host=address.host,
        port=address.port,
        dbname="booking",
        autocommit=autocommit,
        connect_timeout=10,
        **{"user": "ebonyrack", **options},
    )


async def fetch(connection: Connection, sql: str, values: Any = None) -> list[Any]:
    """Run a statement and return its rows."""
    cursor = await connection.execute(sql, values)
    return await cursor.fetchall()


@pytest.fixture
async def group() -> AsyncIterator[StandinGroup]:
    """Return a group whose primary is up-1."""
    async with StandinGroup() as standin_group:
        yield standin_group


@pytest.fixture
async def connection(group: StandinGroup) -> AsyncIterator[Connection]:
    """Return a connection to the primary."""
    async with await connect(group["up-1"]) as opened:
        yield opened


@pytest.fixture
async def writer(group: StandinGroup) -> AsyncIterator[Connection]:
    """Return a connection to the primary without autocommit."""
    async with await connect(group["up-1"], autocommit=False) as opened:
        yield opened


@pytest.fixture
async def writers(group: StandinGroup) -> AsyncIterator[tuple[Connection, Connection]]:
    """Return two connections to the primary without autocommit."""
    first = await connect(group["up-1"], autocommit=False)
    second = await connect(group["up-1"], autocommit=False)
    async with first, second:
        yield first, second
