import asyncio

import pytest

from ebonyrack.config.sections import GroupSection
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.upstreams.group import DatabaseGroup

LIMIT = 4
LONG_WAIT_S = 3600.0
UPSTREAMS = "up-1=127.0.0.1:1@dc-1 up-2=127.0.0.1:2@dc-1 up-3=127.0.0.1:3@dc-1"


@pytest.fixture
def group():
    section = GroupSection.model_validate(
        {"owner": "db", "upstreams": UPSTREAMS.split(), "queue_limit": LIMIT}
    )
    return DatabaseGroup("booking", section, 10)


async def start_waits(group, caller, count):
    deadline_s = now_s() + LONG_WAIT_S
    tasks = [
        asyncio.create_task(group.wait_for_primary(deadline_s, caller))
        for _ in range(count)
    ]
    await asyncio.sleep(0)
    return tasks


async def end_tasks(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_request_beyond_the_queue_limit_is_rejected(group):
    tasks = await start_waits(group, "booking", LIMIT)
    with pytest.raises(RequestError) as caught:
        await group.wait_for_primary(now_s() + LONG_WAIT_S, "booking")
    assert caught.value.kind is ErrorKind.QUEUE_FULL
    assert caught.value.retry_after_s > 0
    # A change of the group without a new primary leaves the queue as it is.
    group.changed.notify()
    await asyncio.sleep(0)
    assert len(group.primary_wait.queue) == LIMIT
    assert not any(task.done() for task in tasks)
    await end_tasks(tasks)
    assert len(group.primary_wait.queue) == 0


async def test_full_queue_admits_another_application_instead_of_the_flooding_one(group):
    flood = await start_waits(group, "calendar", LIMIT)
    others = await start_waits(group, "booking", 1)
    await asyncio.wait({flood[-1]}, timeout=LONG_WAIT_S)
    assert flood[-1].exception().kind is ErrorKind.QUEUE_FULL
    assert not any(task.done() for task in (*flood[:-1], *others))
    await end_tasks([*flood, *others])


async def test_new_primary_inherits_the_service_time_of_writes(group):
    group.record_primary(1, "up-1")
    pools = {name: upstream.pool for name, upstream in group.upstreams.items()}
    for _ in range(100):
        pools["up-1"].queue.estimator.record_service_time(1.0)
    first = pools["up-2"].queue.build_refusal(ErrorKind.QUEUE_FULL, "", 1)
    group.record_primary(2, "up-2")
    second = pools["up-2"].queue.build_refusal(ErrorKind.QUEUE_FULL, "", 1)
    assert first.retry_after_s < 0.5 < second.retry_after_s
    # From now on the old primary serves reads, which must not affect the estimate.
    pools["up-1"].queue.estimator.record_service_time(5.0)
    assert pools["up-2"].queue.estimator.service_s == pytest.approx(1.0, rel=0.01)
