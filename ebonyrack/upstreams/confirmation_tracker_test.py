import asyncio

from ebonyrack.core.position import LogPosition
from ebonyrack.upstreams.confirmation_tracker import ConfirmationTracker
from ebonyrack.upstreams.status import Role
from ebonyrack.upstreams.status import UpstreamStatus

TERM = 5


def build_status(offset, role=Role.REPLICA, term=TERM, fenced_term=TERM, wrote=TERM):
    position = LogPosition(wrote, offset)
    return UpstreamStatus(role, term, fenced_term, position, position, False)


async def is_confirmed(confirmations, offset):
    waiting = asyncio.create_task(confirmations.wait(offset))
    await asyncio.sleep(0)
    done = waiting.done()
    waiting.cancel()
    return done


async def test_as_many_replicas_as_needed_confirm():
    confirmations = ConfirmationTracker(TERM, "up-1", 2)
    confirmations.observe("up-2", build_status(7))
    assert not await is_confirmed(confirmations, 7)
    confirmations.observe("up-2", build_status(9))
    assert not await is_confirmed(confirmations, 7)
    confirmations.observe("up-3", build_status(8))
    assert await is_confirmed(confirmations, 8)
    assert not await is_confirmed(confirmations, 9)


async def test_answers_that_prove_nothing_for_the_term_are_not_counted():
    confirmations = ConfirmationTracker(TERM, "up-1", 1)
    # The primary restarted and answers as a replica of its own term.
    confirmations.observe("up-1", build_status(9))
    confirmations.observe("up-2", build_status(9, role=Role.PRIMARY))
    confirmations.observe("up-2", build_status(9, term=TERM - 1))
    confirmations.observe("up-2", build_status(9, fenced_term=TERM + 1))
    # It follows the term but has not cut its own log back to it yet.
    confirmations.observe("up-2", build_status(9, wrote=TERM - 1))
    assert not await is_confirmed(confirmations, 1)


async def test_replica_that_lost_its_log_is_not_counted_with_what_it_held():
    confirmations = ConfirmationTracker(TERM, "up-1", 2)
    confirmations.observe("up-2", build_status(9))
    confirmations.forget("up-2")
    confirmations.observe("up-3", build_status(9))
    assert not await is_confirmed(confirmations, 9)
    confirmations.observe("up-2", build_status(9))
    assert await is_confirmed(confirmations, 9)


async def test_end_of_the_term_is_told_to_all_who_wait():
    confirmations = ConfirmationTracker(TERM, "up-1", 1)
    waiting = [asyncio.create_task(confirmations.wait(offset)) for offset in (3, 1, 2)]
    await asyncio.sleep(0)
    assert confirmations.find_lowest_missing("up-2") == 1
    confirmations.observe("up-2", build_status(1))
    assert confirmations.find_lowest_missing("up-2") == 2
    confirmations.end_term()
    assert await asyncio.gather(*waiting) == [False, True, False]
    assert confirmations.find_lowest_missing("up-2") is None
