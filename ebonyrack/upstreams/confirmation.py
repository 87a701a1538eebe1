"""Confirmation of a committed write, also across a change of primary."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.core.position import LogPosition
    from ebonyrack.upstreams.group import DatabaseGroup

PRIMARY_WAIT_S = 0.5
RETRY_PAUSE_S = 0.02
CONTROL_TIMEOUT_S = 0.5


async def try_confirm(group: DatabaseGroup, position: LogPosition) -> bool:
    """Try to confirm a write in what is the present term.

    Args:
        group: The group.
        position: Position of the commit.

    Returns:
        Whether it is confirmed; False to try again.

    Raises:
        RequestError: UPSTREAM_LOST if a change of primary has undone it.
    """
    if position.term > group.term:
        group.wake_monitors()
        await group.changed.wait(RETRY_PAUSE_S)
        return False
    if position.term < group.term:
        return await confirm_in_history(group, position)
    confirmed = await group.wait_for_majority(position)
    return confirmed and position.term == group.term


async def confirm_in_history(group: DatabaseGroup, position: LogPosition) -> bool:
    """Find out whether a write of an earlier term is in the present one's log.

    Args:
        group: The group.
        position: Position of the commit.

    Returns:
        Whether it is and a majority holds it; False to try again.

    Raises:
        RequestError: UPSTREAM_LOST if the present term's log lacks it for good.
    """
    primary = group.primary()
    if primary is None:
        await group.changed.wait(PRIMARY_WAIT_S)
        return False
    term = group.term
    contract = primary.contract
    try:
        answer = await primary.call(contract.build_holds(position), CONTROL_TIMEOUT_S)
        holds = contract.parse_holds(answer.rows[0])
    except (UpstreamLostError, ValueError):
        await group.changed.wait(RETRY_PAUSE_S)
        return False
    if holds.term != term or holds.received.term != term:
        await group.changed.wait(RETRY_PAUSE_S)
        return False
    # The log that answered counts only once a majority holds it too.
    if not await group.wait_for_majority(holds.received):
        return False
    if not holds.held:
        raise RequestError(
            ErrorKind.UPSTREAM_LOST,
            f"the commit at {position} was undone by term {term}",
        )
    return True
