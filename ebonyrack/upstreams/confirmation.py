"""Confirms committed writes, also across a change of primary."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.core.position import LogPosition
    from ebonyrack.upstreams.group import DatabaseGroup

PRIMARY_WAIT_S = 0.5
RETRY_DELAY_S = 0.02
CONTROL_TIMEOUT_S = 0.5


async def try_confirm(group: DatabaseGroup, position: LogPosition) -> bool:
    """Try to confirm a write in the current term.

    Args:
        group: The group.
        position: Position of the commit.

    Returns:
        Whether it is confirmed; on False the caller retries.

    Raises:
        RequestError: UPSTREAM_LOST if a change of primary has discarded the commit.
    """
    if position.term > group.term:
        group.wake_monitors()
        await group.changed.wait(RETRY_DELAY_S)
        return False
    if position.term < group.term:
        return await confirm_earlier_term(group, position)
    confirmed = await group.wait_for_majority(position)
    return confirmed and position.term == group.term


async def confirm_earlier_term(group: DatabaseGroup, position: LogPosition) -> bool:
    """Check whether the current term's log contains a write of an earlier term.

    Args:
        group: The group.
        position: Position of the commit.

    Returns:
        Whether it does and a majority holds it; on False the caller retries.

    Raises:
        RequestError: UPSTREAM_LOST if a majority holds a log of this term without it.
    """
    primary = group.primary()
    if primary is None:
        await group.changed.wait(PRIMARY_WAIT_S)
        return False
    term = group.term
    contract = primary.contract
    try:
        result = await primary.call(contract.build_holds(position), CONTROL_TIMEOUT_S)
        holds = contract.parse_holds(result.rows[0])
    except (UpstreamLostError, ValueError):
        await group.changed.wait(RETRY_DELAY_S)
        return False
    if holds.term != term or holds.received.term != term:
        await group.changed.wait(RETRY_DELAY_S)
        return False
    # The primary's log is decisive only once a majority holds it too.
    if not await group.wait_for_majority(holds.received):
        return False
    if not holds.held:
        raise RequestError(
            ErrorKind.UPSTREAM_LOST,
            f"the commit at {position} was discarded by term {term}",
        )
    return True
