import asyncio
from dataclasses import replace

import pytest

from ebonyrack.core.clock import now_s
from ebonyrack.core.position import LOG_START
from ebonyrack.core.position import LogPosition
from ebonyrack.routing.read_index import ReadIndex
from ebonyrack.routing.read_overlap import choose_overlap
from ebonyrack.routing.read_placement import ReadRequirement
from ebonyrack.upstreams.status import Role


@pytest.fixture
async def index(group):
    async with ReadIndex(group) as index:
        yield index


def choose(group, index, requirement=None):
    requirement = requirement or ReadRequirement()
    return choose_overlap(group, index, requirement, now_s() + 5.0)


def start(group, index, name="b", requirement=None):
    """Begin an overlapped read on one replica."""
    group["c" if name == "b" else "b"].is_leaving = True
    overlap = choose(group, index, requirement)
    assert overlap.replica is group[name]
    overlap.start()
    return overlap


async def test_answer_that_covers_the_index_is_used(group, index):
    held = await group.write(5, "b", "c")
    overlap = start(group, index)
    placement = await overlap.validate(group["b"].actual)
    assert (placement.minimum, placement.reason) == (held, "overlapped")
    assert placement.needs_replica and not placement.hold_until_confirmed
    assert index.history[-1].position == held
    assert group["a"].polls == 0


@pytest.mark.parametrize("held_by", ["c", "bc"])
async def test_answer_that_may_lack_an_acknowledged_write_is_dropped(
    group, index, held_by
):
    before = group["b"].actual
    position = await group.write(5, *held_by)
    overlap = start(group, index)
    # Whether or not the replica has received the write, it has not applied it.
    received = position if "b" in held_by else before.received
    assert await overlap.validate(replace(before, received=received)) is None
    assert choose(group, index) is None
    index.overlap_allowed_at_s = 0.0
    group["c"].is_leaving = False
    assert choose(group, index).replica is group["c"]


async def test_write_held_by_primary_and_silent_replica_only_is_covered(group, index):
    before = group["b"].actual
    await group.write(5, "c")
    group["c"].may_answer.clear()
    overlap = start(group, index)
    assert await overlap.validate(before) is None
    assert group["a"].polls == 1
    group["c"].may_answer.set()


async def test_own_write_of_the_session_is_covered(group, index):
    own = LogPosition(1, 9)
    overlap = start(group, index)
    overlap.search = replace(
        overlap.search, requirement=ReadRequirement(own_writes=own)
    )
    assert await overlap.validate(group["b"].actual) is None


@pytest.mark.parametrize(
    "change",
    [
        {"role": Role.PRIMARY},
        {"term": 2},
        {"term": 2, "applied": LogPosition(2, 9), "received": LogPosition(2, 9)},
        {"applied": LogPosition(0, 99)},
        {"applied": LOG_START},
    ],
)
async def test_answer_of_another_term_or_role_is_dropped(group, index, change):
    overlap = start(group, index)
    assert await overlap.validate(replace(group["b"].actual, **change)) is None


async def test_answer_without_a_majority_is_dropped(group, index):
    overlap = start(group, index)
    group["a"].is_lost = group["c"].is_lost = True
    assert await overlap.validate(group["b"].actual) is None


async def test_answer_without_a_status_is_dropped(group, index):
    assert await start(group, index).validate(None) is None


@pytest.mark.parametrize(
    "requirement",
    [ReadRequirement(minimum=LOG_START), ReadRequirement(max_age_s=1.0)],
)
async def test_read_that_needs_no_new_index_is_not_overlapped(
    group, index, requirement
):
    assert choose(group, index, requirement) is None


async def test_read_that_could_wait_for_a_connection_is_not_overlapped(group, index):
    for name in "bc":
        group[name].pool.idle_count = 0
    assert choose(group, index) is None


async def test_read_is_not_overlapped_while_replicas_are_known_to_lag(group, index):
    status = group["c"].status
    group["c"].status = replace(status, received=LogPosition(1, 2))
    assert choose(group, index) is None


@pytest.mark.parametrize("policy", ["primary_only", "primary_after_write"])
async def test_read_is_not_overlapped_under_other_policies(group, index, policy):
    group.section = group.section.model_copy(update={"read_policy": policy})
    assert choose(group, index) is None


async def test_read_is_not_overlapped_with_a_larger_majority(group, index):
    group.majority = 3
    assert choose(group, index) is None


async def test_concurrent_reads_share_a_round(group, index):
    with choose(group, index):
        assert choose(group, index) is None
    assert choose(group, index) is not None
    fetching = asyncio.create_task(index.fetch())
    await asyncio.sleep(0)
    assert choose(group, index) is None
    await fetching
    assert choose(group, index) is not None


async def test_replica_whose_log_ends_in_an_older_term_is_not_used(group, index):
    overlap = start(group, index)
    group.term = 2
    await group["c"].change(term=2)
    # Entries from a replaced primary, which may never be held by any other upstream.
    tail = LogPosition(1, 9)
    status = replace(group["b"].actual, term=2, received=tail, applied=tail)
    assert await overlap.validate(status) is None
