import asyncio
from collections import Counter

import pytest

from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.pooling.admission import AdmissionQueue
from ebonyrack.pooling.admission import Waiter
from ebonyrack.pooling.wait_estimator import MAXIMUM_RETRY_S
from ebonyrack.pooling.wait_estimator import RETRY_JITTER

FAR_S = 3600.0


@pytest.fixture
async def queue():
    return AdmissionQueue(100)


def add(queue, caller, wait_s=FAR_S, servers=1):
    waiter = Waiter(caller, now_s() + wait_s, next(queue.arrivals))
    queue.add(waiter, servers)
    return waiter


def add_many(queue, caller, count):
    return [add(queue, caller) for _ in range(count)]


async def test_applications_are_served_by_weight(queue):
    queue.weights = {"booking": 3}
    add_many(queue, "calendar", 40)
    add_many(queue, "booking", 40)
    served = Counter(queue.pop().caller for _ in range(40))
    assert served == {"booking": 30, "calendar": 10}


async def test_newcomer_does_not_wait_behind_a_flood(queue):
    add_many(queue, "calendar", 90)
    for _ in range(30):
        queue.pop()
    waiter = add(queue, "booking")
    assert waiter in (queue.pop(), queue.pop())


async def test_idle_application_saves_up_no_share(queue):
    add_many(queue, "calendar", 60)
    for _ in range(50):
        queue.pop()
    add_many(queue, "booking", 60)
    served = Counter(queue.pop().caller for _ in range(10))
    assert served == {"booking": 5, "calendar": 5}


async def test_full_queue_takes_the_place_of_whoever_holds_most(queue):
    flood = add_many(queue, "calendar", 100)
    waiter = add(queue, "booking")
    assert len(queue) == 100
    assert flood[-1].granted.exception().kind is ErrorKind.QUEUE_FULL
    assert not waiter.granted.done()
    with pytest.raises(RequestError) as caught:
        add(queue, "calendar")
    assert caught.value.kind is ErrorKind.QUEUE_FULL
    assert len(queue) == 100


async def test_share_of_a_full_queue_follows_the_weights(queue):
    queue.weights = {"booking": 3}
    add_many(queue, "calendar", 100)
    for _ in range(200):
        try:
            add(queue, "booking")
        except RequestError:
            break
    held = {name: len(item.waiters) for name, item in queue.callers.items()}
    assert held == {"booking": 75, "calendar": 25}


async def test_wait_that_passes_the_deadline_is_refused_at_once(queue):
    for _ in range(100):
        queue.estimator.record_service_time(1.0)
    add_many(queue, "booking", 8)
    assert queue.estimate_wait("booking", 2) == pytest.approx(4.5, rel=0.01)
    with pytest.raises(RequestError) as caught:
        add(queue, "booking", wait_s=4.0, servers=2)
    assert caught.value.kind is ErrorKind.WAIT_TOO_LONG
    assert caught.value.retry_after_s > 4.0
    assert queue.estimate_wait("calendar", 2) == pytest.approx(1.0, rel=0.01)
    add(queue, "calendar", wait_s=4.0, servers=2)


async def test_refused_callers_return_no_faster_than_they_can_be_served(queue):
    queue.limit = 10
    add_many(queue, "booking", 10)
    returns = []
    for _ in range(1000):
        with pytest.raises(RequestError) as caught:
            add(queue, "booking")
        returns.append(caught.value.retry_after_s)
    assert len(queue) == 10
    rate = 1 / queue.estimator.service_s
    for start_s in range(5):
        in_window = sum(start_s <= value < start_s + 1 for value in returns)
        assert in_window <= rate * (1 + RETRY_JITTER)
    assert max(returns) <= MAXIMUM_RETRY_S * (1 + RETRY_JITTER)


async def test_return_times_start_again_when_the_crowd_has_gone(queue):
    queue.limit = 1
    add(queue, "booking")
    for _ in range(100):
        with pytest.raises(RequestError):
            add(queue, "booking")
    queue.estimator.next_retry_s -= FAR_S
    with pytest.raises(RequestError) as caught:
        add(queue, "booking")
    assert caught.value.retry_after_s < 0.1


async def test_a_request_put_back_keeps_its_rank_and_the_bound(queue):
    first = add(queue, "booking")
    assert queue.pop() is first
    others = add_many(queue, "booking", queue.limit)
    queue.put_back(first, 2)
    assert len(queue) == queue.limit
    assert queue.pop() is first
    assert others[-1].granted.exception().kind is ErrorKind.QUEUE_FULL
    assert not any(waiter.granted.done() for waiter in others[:-1])


async def test_end_of_all_waits_gives_each_its_own_error(queue):
    waiters = add_many(queue, "booking", 3)
    waiters[0].granted.cancel()
    queue.fail_all(lambda: asyncio.InvalidStateError("gone"))
    errors = {id(waiter.granted.exception()) for waiter in waiters[1:]}
    assert (len(errors), len(queue)) == (2, 0)


async def test_crowd_beyond_the_longest_return_time_does_not_come_together(queue):
    queue.limit = 1
    add(queue, "booking")
    queue.estimator.service_s = 1.0
    returns = []
    for _ in range(3000):
        with pytest.raises(RequestError) as caught:
            add(queue, "booking")
        returns.append(caught.value.retry_after_s)
    together = max(
        sum(start_s <= value < start_s + 1 for value in returns)
        for start_s in range(13)
    )
    assert together < len(returns) / 5
    assert max(returns) <= MAXIMUM_RETRY_S * (1 + RETRY_JITTER)
