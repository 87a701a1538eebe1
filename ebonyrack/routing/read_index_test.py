import asyncio

import pytest

from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LogPosition
from ebonyrack.routing.read_index import ReadIndex


async def test_index_is_taken_from_replicas_when_they_are_a_majority(group):
    held = await group.write(5, "b")
    await group.write(9)
    async with ReadIndex(group) as index:
        assert await index.fetch() == held
    assert group["a"].polls == 0


@pytest.mark.parametrize("lost", ["a", "b", "c"])
@pytest.mark.parametrize("holder", ["b", "c"])
async def test_index_covers_a_write_that_a_majority_holds(group, lost, holder):
    held = await group.write(5, holder)
    group[lost].is_lost = True
    async with ReadIndex(group) as index:
        assert await index.fetch() >= held


async def test_silent_replica_does_not_delay_the_index(group):
    held = await group.write(5, "b")
    group["b"].may_answer.clear()
    async with ReadIndex(group) as index:
        assert await index.fetch() >= held


async def test_missing_majority_is_an_error(group):
    for name in "ab":
        group[name].is_lost = True
    async with ReadIndex(group) as index:
        with pytest.raises(RequestError) as caught:
            await index.fetch()
        assert caught.value.kind is ErrorKind.NO_UPSTREAM
        group["b"].is_lost = False
        assert await index.fetch() == LogPosition(1, 1)


async def test_poll_sent_before_the_call_does_not_count(group):
    for name in "abc":
        group[name].may_answer.clear()
    async with ReadIndex(group) as index:
        early = asyncio.create_task(index.fetch())
        while index.current_round is None:
            await asyncio.sleep(0)
        held = await group.write(5, "b", "c")
        late = [asyncio.create_task(index.fetch()) for _ in range(20)]
        for name in "abc":
            group[name].may_answer.set()
        await early
        assert await asyncio.gather(*late) == [held] * 20
    assert group["b"].polls == 2


async def test_cancelled_reader_does_not_cancel_the_round_of_others(group):
    async with ReadIndex(group) as index:
        tasks = [asyncio.create_task(index.fetch()) for _ in range(2)]
        await asyncio.sleep(0)
        tasks[0].cancel()
        assert await tasks[1] == LogPosition(1, 1)


async def test_find_index_returns_the_oldest_recent_enough(group):
    async with ReadIndex(group) as index:
        before_s = now_s()
        first = await index.fetch()
        between_s = now_s()
        index.history[-1] = type(index.history[-1])(before_s, first)
        assert index.find_index(before_s) == first
        assert index.find_index(between_s) is None


async def test_history_is_bounded_and_thinned(group):
    async with ReadIndex(group) as index:
        for _ in range(50):
            await index.fetch()
        assert len(index.history) < 50
        assert index.history.maxlen is not None
