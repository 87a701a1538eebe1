"""The SQL functions by which proxies monitor and control a stand-in upstream."""

from __future__ import annotations

import re
from collections.abc import Awaitable
from collections.abc import Callable
from functools import lru_cache
from typing import TYPE_CHECKING

from ebonyrack.core.address import Address
from ebonyrack.core.position import LogPosition
from ebonyrack.core.registry import Registry
from ebonyrack.standins import datatypes
from ebonyrack.standins.log import PositionWaiters
from ebonyrack.standins.result_set import ResultSet
from ebonyrack.standins.schema import Column
from ebonyrack.standins.sql_error import SqlError
from ebonyrack.upstreams.status import Role

if TYPE_CHECKING:
    from ebonyrack.standins.session import StandinSession

CALL = re.compile(
    r"^\s*SELECT\s+(?:\*\s+FROM\s+)?"
    r"(ebonyrack_\w+|pg_is_in_recovery|pg_sleep)\s*\(([^()]*)\)\s*;?\s*$",
    re.IGNORECASE,
)
MAXIMUM_WAIT_MS = 60_000
CACHED_CALLS = 4096

Handler = Callable[["StandinSession", tuple[str, ...]], Awaitable[ResultSet]]
FUNCTIONS: Registry[Handler] = Registry("function")

STATUS_COLUMNS = [
    Column("role", datatypes.TEXT),
    Column("term", datatypes.INT8),
    Column("fenced_term", datatypes.INT8),
    Column("received", datatypes.TEXT),
    Column("applied", datatypes.TEXT),
    Column("leaving", datatypes.BOOL),
    Column("silence_ms", datatypes.INT8),
]
GRANT_COLUMNS = [
    Column("granted", datatypes.BOOL),
    Column("fenced_term", datatypes.INT8),
    Column("received", datatypes.TEXT),
]
HOLDS_COLUMNS = [
    Column("held", datatypes.BOOL),
    Column("term", datatypes.INT8),
    Column("received", datatypes.TEXT),
]
RECEIVED_COLUMNS = [Column("received", datatypes.TEXT)]
COLUMNS = {
    "ebonyrack_poll": STATUS_COLUMNS,
    "ebonyrack_poll_received": STATUS_COLUMNS,
    "ebonyrack_fence": GRANT_COLUMNS,
    "ebonyrack_promote": RECEIVED_COLUMNS,
    "ebonyrack_follow": RECEIVED_COLUMNS,
    "ebonyrack_holds": HOLDS_COLUMNS,
    "ebonyrack_last_commit": [Column("ebonyrack_last_commit", datatypes.TEXT)],
    "pg_is_in_recovery": [Column("pg_is_in_recovery", datatypes.BOOL)],
    "pg_sleep": [Column("pg_sleep", datatypes.TEXT)],
}


@lru_cache(CACHED_CALLS)
def match_call(text: str) -> tuple[str, tuple[str, ...]] | None:
    """Parse a statement that calls one of the functions.

    Args:
        text: PostgreSQL text of a statement.

    Returns:
        Name and arguments, or None if the statement isn't such a call.
    """
    match = CALL.match(text)
    if match is None or match.group(1).lower() not in COLUMNS:
        return None
    arguments = tuple(part.strip().strip("'") for part in match.group(2).split(","))
    return match.group(1).lower(), arguments


async def call_function(
    session: StandinSession, name: str, arguments: tuple[str, ...]
) -> ResultSet:
    """Run one of the functions.

    Args:
        session: Session that calls the function.
        name: Name of the function.
        arguments: Arguments as text.

    Returns:
        The function's single row.

    Raises:
        SqlError: If the arguments are invalid or the upstream rejects the call.
    """
    try:
        return await FUNCTIONS.get(name)(session, arguments)
    except (ValueError, IndexError) as error:
        raise SqlError("22023", f"invalid arguments of {name}: {error}") from None


@FUNCTIONS.register("ebonyrack_poll")
async def poll(session: StandinSession, arguments: tuple[str, ...]) -> ResultSet:
    """Return the status once reads see a position or the wait has timed out."""
    return await wait_and_report(session, session.upstream.applied, arguments)


@FUNCTIONS.register("ebonyrack_poll_received")
async def poll_received(
    session: StandinSession, arguments: tuple[str, ...]
) -> ResultSet:
    """Return the status once the log has reached a position or the wait times out."""
    return await wait_and_report(session, session.upstream.received, arguments)


async def wait_and_report(
    session: StandinSession, waiters: PositionWaiters, arguments: tuple[str, ...]
) -> ResultSet:
    """Wait for a position or until the timeout, then return the status."""
    term, offset, wait_ms = (int(argument) for argument in arguments)
    limit_s = min(wait_ms, MAXIMUM_WAIT_MS) / 1000
    if limit_s > 0:
        await waiters.wait_for(LogPosition(term, offset), limit_s)
    status = session.upstream.read_status()
    row = (
        str(status.role),
        status.term,
        status.fenced_term,
        str(status.received),
        str(status.applied),
        int(status.leaving),
        None if status.silence_s is None else round(status.silence_s * 1000),
    )
    return ResultSet(STATUS_COLUMNS, [row], 1)


@FUNCTIONS.register("ebonyrack_fence")
async def fence(session: StandinSession, arguments: tuple[str, ...]) -> ResultSet:
    """Request the grant of a term."""
    upstream = session.upstream
    granted = await upstream.fence(int(arguments[0]))
    row = (int(granted), upstream.fenced_term, str(upstream.log.last))
    return ResultSet(GRANT_COLUMNS, [row], 1)


@FUNCTIONS.register("ebonyrack_promote")
async def promote(session: StandinSession, arguments: tuple[str, ...]) -> ResultSet:
    """Promote the upstream to primary in a granted term."""
    position = await session.upstream.promote(int(arguments[0]))
    return ResultSet(RECEIVED_COLUMNS, [(str(position),)], 1)


@FUNCTIONS.register("ebonyrack_follow")
async def follow(session: StandinSession, arguments: tuple[str, ...]) -> ResultSet:
    """Make the upstream a replica of a primary."""
    primary = Address(arguments[1], int(arguments[2]))
    await session.upstream.follow(int(arguments[0]), primary)
    return ResultSet(RECEIVED_COLUMNS, [(str(session.upstream.log.last),)], 1)


@FUNCTIONS.register("ebonyrack_last_commit")
async def last_commit(session: StandinSession, arguments: tuple[str, ...]) -> ResultSet:
    """Return the position of the connection's last committed transaction."""
    position = session.last_commit
    text = "" if position is None else str(position)
    return ResultSet(COLUMNS["ebonyrack_last_commit"], [(text,)], 1)


@FUNCTIONS.register("ebonyrack_holds")
async def holds(session: StandinSession, arguments: tuple[str, ...]) -> ResultSet:
    """Return whether the log contains the entry at a position."""
    upstream = session.upstream
    held = upstream.log.holds(LogPosition(int(arguments[0]), int(arguments[1])))
    row = (int(held), upstream.term, str(upstream.log.last))
    return ResultSet(HOLDS_COLUMNS, [row], 1)


@FUNCTIONS.register("pg_is_in_recovery")
async def pg_is_in_recovery(
    session: StandinSession, arguments: tuple[str, ...]
) -> ResultSet:
    """Return whether the upstream is a replica."""
    is_replica = session.upstream.role is Role.REPLICA
    return ResultSet(COLUMNS["pg_is_in_recovery"], [(int(is_replica),)], 1)


@FUNCTIONS.register("pg_sleep")
async def pg_sleep(session: StandinSession, arguments: tuple[str, ...]) -> ResultSet:
    """Occupy an execution slot for a duration in seconds."""
    await session.hold_slot(float(arguments[0]))
    return ResultSet(COLUMNS["pg_sleep"], [("",)], 1)
