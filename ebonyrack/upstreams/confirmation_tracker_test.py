import asyncio

from ebonyrack.core.position import LogPosition
from ebonyrack.upstreams.confirmation_tracker import ConfirmationTracker
from ebonyrack.upstreams.status import Role
from ebonyrack.upstreams.status import UpstreamStatus

TERM = 5


def build_status(
    offset, role=Role.REPLICA, term=TERM, fenced_term=TERM, entry_term=TERM
):
    position = LogPosition(entry_term, offset)
    return UpstreamStatus(role, term, fenced_term, position, position, False)


async def is_confirmed(confirmations, offset):
    waiting = asyncio.create_task(confirmations.wait(offset))
    await asyncio.sleep(0)
    done = waiting.done()
    waiting.cancel()
    return done


async def test_write_is_confirmed_once_enough_replicas_hold_it():
    confirmations = ConfirmationTracker(TERM, "up-1", 2)
    confirmations.observe("up-2", build_status(7))
    assert not await is_confirmed(confirmations, 7)
    confirmations.observe("up-2", build_status(9))
    assert not await is_confirmed(confirmations, 7)
    confirmations.observe("up-3", build_status(8))
    assert await is_confirmed(confirmations, 8)
    assert not await is_confirmed(confirmations, 9)


async def test_status_that_proves_nothing_for_the_term_is_not_counted():
    confirmations = ConfirmationTracker(TERM, "up-1", 1)
    # The primary restarted and reports as a replica of its own term.
    confirmations.observe("up-1", build_status(9))
    confirmations.observe("up-2", build_status(9, role=Role.PRIMARY))
    confirmations.observe("up-2", build_status(9, term=TERM - 1))
    confirmations.observe("up-2", build_status(9, fenced_term=TERM + 1))
    # It follows the term but has not truncated its own log to match it yet.
    confirmations.observe("up-2", build_status(9, entry_term=TERM - 1))
    assert not await is_confirmed(confirmations, 1)


async def test_discarded_replica_does_not_confirm_writes_it_held_before():
    confirmations = ConfirmationTracker(TERM, "up-1", 2)
    confirmations.observe("up-2", build_status(9))
    confirmations.discard_replica("up-2")
    confirmations.observe("up-3", build_status(9))
    assert not await is_confirmed(confirmations, 9)
    confirmations.observe("up-2", build_status(9))
    assert await is_confirmed(confirmations, 9)


async def test_end_of_term_fails_all_pending_writes():
    confirmations = ConfirmationTracker(TERM, "up-1", 1)
    pending = [asyncio.create_task(confirmations.wait(offset)) for offset in (3, 1, 2)]
    await asyncio.sleep(0)
    assert confirmations.find_lowest_missing("up-2") == 1
    confirmations.observe("up-2", build_status(1))
    assert confirmations.find_lowest_missing("up-2") == 2
    confirmations.end_term()
    assert await asyncio.gather(*pending) == [False, True, False]
    assert confirmations.find_lowest_missing("up-2") is None
