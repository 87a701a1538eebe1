import asyncio
from collections import Counter

import pytest

from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.pooling.admission import AdmissionQueue
from ebonyrack.pooling.fair_order import Waiter
from ebonyrack.pooling.wait_estimator import MAXIMUM_RETRY_S
from ebonyrack.pooling.wait_estimator import RETRY_JITTER

LONG_WAIT_S = 3600.0


@pytest.fixture
async def queue():
    return AdmissionQueue(100)


def add(queue, caller, wait_s=LONG_WAIT_S, servers=1):
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


async def test_new_application_does_not_wait_behind_a_flood(queue):
    add_many(queue, "calendar", 90)
    for _ in range(30):
        queue.pop()
    waiter = add(queue, "booking")
    assert waiter in (queue.pop(), queue.pop())


async def test_idle_application_accumulates_no_share(queue):
    add_many(queue, "calendar", 60)
    for _ in range(50):
        queue.pop()
    add_many(queue, "booking", 60)
    served = Counter(queue.pop().caller for _ in range(10))
    assert served == {"booking": 5, "calendar": 5}


async def test_full_queue_refuses_newest_waiter_of_largest_application(queue):
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
    waiting = {name: len(item.waiters) for name, item in queue.callers.items()}
    assert waiting == {"booking": 75, "calendar": 25}


async def test_request_is_refused_when_expected_wait_exceeds_deadline(queue):
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


async def test_retry_times_do_not_exceed_the_service_rate(queue):
    queue.limit = 10
    add_many(queue, "booking", 10)
    retry_times_s = []
    for _ in range(1000):
        with pytest.raises(RequestError) as caught:
            add(queue, "booking")
        retry_times_s.append(caught.value.retry_after_s)
    assert len(queue) == 10
    rate = 1 / queue.estimator.service_s
    for start_s in range(5):
        in_window = sum(start_s <= value < start_s + 1 for value in retry_times_s)
        assert in_window <= rate * (1 + RETRY_JITTER)
    assert max(retry_times_s) <= MAXIMUM_RETRY_S * (1 + RETRY_JITTER)


async def test_retry_times_start_again_after_a_burst(queue):
    queue.limit = 1
    add(queue, "booking")
    for _ in range(100):
        with pytest.raises(RequestError):
            add(queue, "booking")
    queue.estimator.last_retry_at_s -= LONG_WAIT_S
    with pytest.raises(RequestError) as caught:
        add(queue, "booking")
    assert caught.value.retry_after_s < 0.1


async def test_requeued_request_keeps_its_order_and_the_queue_limit(queue):
    first = add(queue, "booking")
    assert queue.pop() is first
    others = add_many(queue, "booking", queue.limit)
    queue.requeue(first, 2)
    assert len(queue) == queue.limit
    assert queue.pop() is first
    assert others[-1].granted.exception().kind is ErrorKind.QUEUE_FULL
    assert not any(waiter.granted.done() for waiter in others[:-1])


async def test_fail_all_gives_each_waiter_its_own_error(queue):
    waiters = add_many(queue, "booking", 3)
    waiters[0].granted.cancel()
    queue.fail_all(lambda: asyncio.InvalidStateError("gone"))
    errors = {id(waiter.granted.exception()) for waiter in waiters[1:]}
    assert (len(errors), len(queue)) == (2, 0)


async def test_capped_retry_times_are_spread(queue):
    queue.limit = 1
    add(queue, "booking")
    queue.estimator.service_s = 1.0
    retry_times_s = []
    for _ in range(3000):
        with pytest.raises(RequestError) as caught:
            add(queue, "booking")
        retry_times_s.append(caught.value.retry_after_s)
    most_per_second = max(
        sum(start_s <= value < start_s + 1 for value in retry_times_s)
        for start_s in range(13)
    )
    assert most_per_second < len(retry_times_s) / 5
    assert max(retry_times_s) <= MAXIMUM_RETRY_S * (1 + RETRY_JITTER)
