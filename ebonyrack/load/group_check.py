"""Compares the data of a database group with the replies that callers received."""

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
    """No reachable upstream is primary."""


@dataclass(frozen=True, slots=True)
class GroupFindings:
    """The current primary's data compared with the replies that callers received.

    Attributes:
        rows: Number of reservations of the run.
        lost: Number of acknowledged reservations that are missing.
        doubled: Number of duplicate reservations of a request or of a slot.
        untrue_refusals: Number of finally refused reservations that exist.
    """

    rows: int
    lost: int
    doubled: int
    untrue_refusals: int


async def connect_to_upstream(
    address: Address, user: str, password: str
) -> psycopg.AsyncConnection[tuple[object, ...]]:
    """Open a direct connection to an upstream."""
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
    """Poll the status of an upstream."""
    contract = EbonyrackContract()
    cursor = await connection.execute(contract.build_poll(LOG_START, 0).encode())
    row = await cursor.fetchone()
    assert row is not None
    fields = tuple(
        "ft"[item] if isinstance(item, bool) else "" if item is None else str(item)
        for item in row
    )
    return contract.parse_status(fields)


async def wait_for_primary(
    upstreams: tuple[Address, ...], limit_s: float = PRIMARY_WAIT_S
) -> psycopg.AsyncConnection[tuple[object, ...]]:
    """Open a connection to the primary as soon as there is one.

    Args:
        upstreams: Addresses of the group's upstreams.
        limit_s: Longest wait, in seconds.

    Returns:
        The connection.

    Raises:
        NoPrimaryError: If there is no primary within the limit.
    """
    deadline_s = now_s() + limit_s
    while True:
        try:
            return await connect_to_primary(upstreams)
        except NoPrimaryError:
            if now_s() > deadline_s:
                raise
            await asyncio.sleep(PRIMARY_POLL_S)


async def connect_to_primary(
    upstreams: tuple[Address, ...], user: str = ADMINISTRATOR, password: str = ""
) -> psycopg.AsyncConnection[tuple[object, ...]]:
    """Open a connection to the primary with the highest term.

    Args:
        upstreams: Addresses of the group's upstreams.
        user: User name on the upstreams.
        password: Password on the upstreams.

    Returns:
        The connection.

    Raises:
        NoPrimaryError: If no reachable upstream is primary.
    """
    primary: psycopg.AsyncConnection[tuple[object, ...]] | None = None
    primary_term = -1
    for address in upstreams:
        try:
            connection = await connect_to_upstream(address, user, password)
        except psycopg.Error:
            continue
        status = await read_status(connection)
        is_primary = status.role is Role.PRIMARY and status.fenced_term <= status.term
        if not is_primary or status.term <= primary_term:
            await connection.close()
            continue
        if primary is not None:
            await primary.close()
        primary, primary_term = connection, status.term
    if primary is None:
        raise NoPrimaryError("no reachable upstream is primary")
    return primary


async def create_tables(upstreams: tuple[Address, ...]) -> None:
    """Create the workload's table, without constraints so that duplicates show up."""
    async with await wait_for_primary(upstreams) as connection:
        for statement in TABLE_STATEMENTS:
            await connection.execute(statement.encode())


async def check_group(
    upstreams: tuple[Address, ...], record: WorkloadRecord, run_id: str
) -> GroupFindings:
    """Compare the primary's reservations with the replies that callers received.

    Args:
        upstreams: Addresses of the group's upstreams.
        record: Replies that the callers received.
        run_id: Prefix of the request keys of the run.

    Returns:
        The differences.
    """
    async with await wait_for_primary(upstreams) as connection:
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
