"""Checks a database group itself against what callers were told."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass

import psycopg

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.position import LOG_START
from ebonyrack.load.record import WorkloadRecord
from ebonyrack.upstreams.contract import EbonyrackContract
from ebonyrack.upstreams.status import Role
from ebonyrack.upstreams.status import UpstreamStatus

TABLE_STATEMENTS = (
    "CREATE TABLE IF NOT EXISTS reservations (slot INTEGER, booker TEXT, request TEXT)",
    "CREATE INDEX IF NOT EXISTS reservations_by_request ON reservations (request)",
)
ADMINISTRATOR = "postgres"
CONNECT_TIMEOUT_S = 3
PRIMARY_WAIT_S = 15.0
PRIMARY_POLL_S = 0.2


class NoPrimaryError(Exception):
    """No upstream that could be reached is primary."""


@dataclass(frozen=True, slots=True)
class GroupFindings:
    """What the present primary holds, against what callers were told.

    Attributes:
        rows: Reservations of the run.
        lost: Acknowledged reservations that are missing.
        doubled: Reservations of a request or a slot beyond the first.
        untrue_refusals: Reservations refused for good that are there.
    """

    rows: int
    lost: int
    doubled: int
    untrue_refusals: int


async def open_upstream(
    address: Address, user: str, password: str
) -> psycopg.AsyncConnection[tuple[object, ...]]:
    """Open a connection to an upstream itself."""
    return await psycopg.AsyncConnection.connect(
        host=address.host,
        port=address.port,
        user=user,
        password=password,
        dbname="booking",
        sslmode="disable",
        gssencmode="disable",
        autocommit=True,
        connect_timeout=CONNECT_TIMEOUT_S,
    )


async def read_status(
    connection: psycopg.AsyncConnection[tuple[object, ...]],
) -> UpstreamStatus:
    """Poll an upstream."""
    contract = EbonyrackContract()
    cursor = await connection.execute(contract.build_poll(LOG_START, 0).encode())
    row = await cursor.fetchone()
    assert row is not None
    fields = tuple(
        "ft"[item] if isinstance(item, bool) else "" if item is None else str(item)
        for item in row
    )
    return contract.parse_status(fields)


async def wait_primary(
    upstreams: tuple[Address, ...], limit_s: float = PRIMARY_WAIT_S
) -> psycopg.AsyncConnection[tuple[object, ...]]:
    """Open a connection to the primary, once there is one.

    Args:
        upstreams: Addresses of the group's upstreams.
        limit_s: Longest wait, in seconds.

    Returns:
        The connection.

    Raises:
        NoPrimaryError: If there is none within the limit.
    """
    deadline_s = now_s() + limit_s
    while True:
        try:
            return await open_primary(upstreams)
        except NoPrimaryError:
            if now_s() > deadline_s:
                raise
            await asyncio.sleep(PRIMARY_POLL_S)


async def open_primary(
    upstreams: tuple[Address, ...], user: str = ADMINISTRATOR, password: str = ""
) -> psycopg.AsyncConnection[tuple[object, ...]]:
    """Open a connection to the primary of the highest term.

    Args:
        upstreams: Addresses of the group's upstreams.
        user: User of the upstreams.
        password: Password of the upstreams.

    Returns:
        The connection.

    Raises:
        NoPrimaryError: If there is none.
    """
    best: psycopg.AsyncConnection[tuple[object, ...]] | None = None
    best_term = -1
    for address in upstreams:
        try:
            connection = await open_upstream(address, user, password)
        except psycopg.Error:
            continue
        status = await read_status(connection)
        is_primary = status.role is Role.PRIMARY and status.fenced_term <= status.term
        if not is_primary or status.term <= best_term:
            await connection.close()
            continue
        if best is not None:
            await best.close()
        best, best_term = connection, status.term
    if best is None:
        raise NoPrimaryError("no upstream that can be reached is primary")
    return best


async def create_tables(upstreams: tuple[Address, ...]) -> None:
    """Create the workload's table, without any constraint that hides doubles."""
    async with await wait_primary(upstreams) as connection:
        for statement in TABLE_STATEMENTS:
            await connection.execute(statement.encode())


async def check_group(
    upstreams: tuple[Address, ...], record: WorkloadRecord, run_id: str
) -> GroupFindings:
    """Compare the primary's reservations with what callers were told.

    Args:
        upstreams: Addresses of the group's upstreams.
        record: What callers were told.
        run_id: Start of the request keys of the run.

    Returns:
        The differences.
    """
    async with await wait_primary(upstreams) as connection:
        cursor = await connection.execute("SELECT request, slot FROM reservations")
        rows = [
            (str(request), slot)
            for request, slot in await cursor.fetchall()
            if str(request).startswith(f"{run_id}-")
        ]
    requests = Counter(request for request, _ in rows)
    slots = Counter(slot for _, slot in rows)
    doubled_requests = sum(count - 1 for count in requests.values())
    doubled_slots = sum(count - 1 for count in slots.values())
    return GroupFindings(
        rows=len(rows),
        lost=sum(key not in requests for key in record.acknowledged),
        doubled=max(doubled_requests, doubled_slots),
        untrue_refusals=sum(key in requests for key in record.refused),
    )
