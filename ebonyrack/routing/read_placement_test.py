import asyncio
from dataclasses import replace

import pytest

from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LOG_START
from ebonyrack.core.position import LogPosition
from ebonyrack.routing import read_placement
from ebonyrack.routing.conftest import FakeGroup
from ebonyrack.routing.read_index import ReadIndex
from ebonyrack.routing.read_placement import ReadRequirement
from ebonyrack.routing.read_placement import place_read
from ebonyrack.upstreams.status import Role

WAIT_S = 10.0
STRICT = ReadRequirement()


async def place(group, requirement=STRICT, excluded=frozenset(), wait_s=WAIT_S):
    async with ReadIndex(group) as index:
        return await place_read(group, index, requirement, now_s() + wait_s, excluded)


async def test_strict_read_goes_to_the_replica_that_applied_the_last_write(group):
    held = await group.write(5, "b")
    placement = await place(group)
    assert (placement.upstream, placement.minimum) == (group["b"], held)
    assert not placement.hold_until_confirmed


async def test_reads_are_spread_over_equal_replicas(group):
    names = {(await place(group)).upstream.name for _ in range(50)}
    assert names == {"b", "c"}


async def test_busy_replica_gets_fewer_reads(group):
    group["b"].pool.busy_count = 1
    names = {(await place(group)).upstream.name for _ in range(20)}
    assert names == {"c"}


async def test_read_waits_for_a_replica_that_catches_up(group):
    held = await group.write(5)
    await group["b"].change(received=held)
    task = asyncio.create_task(place(group))
    while not group["b"].state_changed._waiters:
        await asyncio.sleep(0)
    await group["c"].change(applied=held)
    placement = await task
    assert (placement.upstream, placement.reason) == (group["c"], "waited")


@pytest.mark.parametrize("values, lag_s", [({"read_wait_s": 0}, 0), ({}, 60)])
async def test_read_goes_to_the_primary_while_replicas_lag(values, lag_s):
    group = FakeGroup(**values)
    group.lag_s = lag_s
    held = await group.write(5)
    await group["b"].change(received=held)
    placement = await place(group)
    assert placement.upstream is group["a"]
    assert placement.hold_until_confirmed


async def test_read_with_token_needs_no_poll(group):
    await group.write(5, "b")
    group["b"].status = group["b"].actual
    placement = await place(group, ReadRequirement(minimum=LogPosition(1, 4)))
    assert placement.upstream is group["b"]
    assert group["c"].polls == group["b"].polls == 0


async def test_bounded_staleness_read_does_not_wait_but_sees_own_writes(group):
    async with ReadIndex(group) as index:

        async def place_with_max_age(max_age_s, own_writes=LOG_START):
            requirement = ReadRequirement(None, max_age_s, own_writes)
            return await place_read(group, index, requirement, now_s() + WAIT_S)

        await index.fetch()
        held = await group.write(5, "b")
        group["b"].status = group["b"].actual
        group["c"].pool.busy_count = 0
        group["b"].pool.busy_count = 1
        assert (await place_with_max_age(60)).upstream is group["c"]
        assert (await place_with_max_age(60, held)).upstream is group["b"]
        assert (await place_with_max_age(0)).upstream is group["b"]


async def test_replaced_primary_serves_no_read(group):
    for name in "bc":
        await group[name].change(term=2, fenced_term=2, received=LogPosition(2, 2))
    with pytest.raises(RequestError) as caught:
        await place(group, wait_s=0.05)
    assert caught.value.kind is ErrorKind.NO_UPSTREAM
    group.term, group.primary_name = 2, "b"
    assert (await place(group)).upstream is group["b"]


async def test_replica_with_unconfirmed_entries_serves_no_read(group):
    group.term, group.primary_name = 2, "b"
    tail = LogPosition(1, 9)
    await group["a"].change(role=Role.REPLICA, term=2, received=tail, applied=tail)
    group["a"].status = group["a"].actual
    requirement = ReadRequirement(minimum=LogPosition(1, 1))
    assert (await place(group, requirement)).upstream is group["b"]


async def test_reads_continue_while_replicas_vote_for_a_new_primary(group):
    group["a"].is_reachable = False
    group["a"].is_lost = True
    for name in "bc":
        await group[name].change(fenced_term=2)
    assert (await place(group)).upstream.name in "bc"


@pytest.mark.parametrize("change", [{"is_leaving": True}, {"is_reachable": False}])
async def test_leaving_or_unreachable_upstream_gets_no_read(group, change):
    for name, value in change.items():
        setattr(group["b"], name, value)
    names = {(await place(group)).upstream.name for _ in range(20)}
    assert names == {"c"}
    assert (await place(group, excluded={"c"})).upstream is group["a"]


async def test_unreached_position_is_an_error(group):
    group["a"].is_reachable = False
    requirement = ReadRequirement(minimum=LogPosition(1, 9))
    with pytest.raises(RequestError) as caught:
        await place(group, requirement, wait_s=0.05)
    assert caught.value.kind is ErrorKind.POSITION_NOT_REACHED
    assert caught.value.retry_after_s > 0


async def test_replica_answers_are_held_back_with_a_larger_majority(group):
    group.majority = 3
    assert (await place(group)).hold_until_confirmed


async def test_baseline_policies():
    group = FakeGroup(read_policy="primary_only")
    assert (await place(group)).upstream is group["a"]
    group = FakeGroup(read_policy="primary_after_write")
    assert (await place(group)).upstream.name in "bc"
    requirement = replace(STRICT, wrote_at_s=now_s())
    assert (await place(group, requirement)).upstream is group["a"]
    requirement = replace(
        STRICT, wrote_at_s=now_s() - read_placement.PRIMARY_AFTER_WRITE_S
    )
    assert (await place(group, requirement)).upstream.name in "bc"
