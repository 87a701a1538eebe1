"""Loads that accounts share, replayed in their order and first come first served."""

import heapq
import random
from collections import Counter
from collections import deque

from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.pooling.account_retry import AccountRetries
from ebonyrack.pooling.fair_order import FairOrder
from ebonyrack.pooling.fair_order import Waiter
from ebonyrack.pooling.fair_order import WorkTerms

SLOTS = 6
SERVICE_S = 0.025
INTERVAL_S = SERVICE_S / SLOTS
QUIET = [f"account-{number}" for number in range(81)]


class ArrivalOrder:
    """First come first served; requests are refused at their deadlines."""

    def __init__(self):
        self.waiters = deque()

    def insert(self, waiter):
        self.waiters.append(waiter)

    def pop(self):
        return self.waiters.popleft() if self.waiters else None

    def list_hopeless(self, now_s, interval_s, service_s):
        return [each for each in self.waiters if each.deadline_s < now_s]

    def discard(self, waiter):
        self.waiters.remove(waiter)


def replay(order, arrivals, limit_s, tries=1, assign_retry=None):
    """Serve arrivals; return those in time by account, refusal delays and returns."""
    random_ = random.Random(1)
    events = [(at_s, n, "arrive", name, 1) for n, (at_s, name) in enumerate(arrivals)]
    heapq.heapify(events)
    numbers = iter(range(len(events), 10_000_000))
    waiting, free = {}, SLOTS
    in_time, delays, returns = Counter(), [], []
    while events:
        now_s, number, kind, name, attempt = heapq.heappop(events)
        if kind == "arrive":
            waiter = Waiter(name, now_s + limit_s, number, account=name)
            waiting[waiter.number] = (now_s, attempt)
            order.insert(waiter)
            heapq.heappush(events, (now_s + limit_s, next(numbers), "look", "", 0))
        elif kind == "done":
            free += 1
        for waiter in order.list_hopeless(now_s, INTERVAL_S, SERVICE_S):
            order.discard(waiter)
            arrived_s, attempt = waiting.pop(waiter.number)
            delays.append(now_s - arrived_s)
            if attempt < tries:
                back_s = assign_retry(order, waiter.caller, now_s)
                returns.append(back_s)
                event = (back_s, next(numbers), "arrive", waiter.caller, attempt + 1)
                heapq.heappush(events, event)
        while free and (waiter := order.pop()) is not None:
            arrived_s, _ = waiting.pop(waiter.number)
            done_s = now_s + random_.expovariate(1 / SERVICE_S)
            free -= 1
            heapq.heappush(events, (done_s, next(numbers), "done", "", 0))
            in_time[waiter.caller] += done_s - arrived_s <= limit_s
    return in_time, delays, returns


def build_arrivals(rates_per_s, duration_s):
    random_ = random.Random(2)
    arrivals = []
    for name, rate_per_s in rates_per_s.items():
        at_s = random_.expovariate(rate_per_s)
        while at_s < duration_s:
            arrivals.append((at_s, name))
            at_s += random_.expovariate(rate_per_s)
    return arrivals


def test_hot_account_costs_the_other_81_nothing():
    # 240 requests a second can be served; 138 come from the 81, 30 usually from one.
    arrivals = build_arrivals({**dict.fromkeys(QUIET, 1.7), "hot": 7 * 30.0}, 20.0)
    owed = Counter(name for _, name in arrivals)
    quiet_owed = owed.total() - owed["hot"]
    served = {}
    for order in (ArrivalOrder(), FairOrder()):
        in_time, delays, _ = replay(order, arrivals, limit_s=0.25)
        served[type(order)] = (
            (in_time.total() - in_time["hot"]) / quiet_owed,
            in_time["hot"] / owed["hot"],
            sum(delays) / len(delays),
        )
    assert served[FairOrder][0] > 0.99
    assert served[ArrivalOrder][0] < 0.6
    # What the others leave is the hot account's: 102 of its 210 requests a second.
    assert served[FairOrder][1] > 0.35
    assert served[FairOrder][1] > served[ArrivalOrder][1]
    # What can't be in time is refused before its deadline.
    assert served[FairOrder][2] < served[ArrivalOrder][2]


def test_everyone_is_served_after_all_came_back_at_once():
    # 960 sessions come back within 50 ms, 4 s of work; callers try three times.
    random_ = random.Random(3)
    names = [*QUIET, *["large"] * 40]
    arrivals = [(random_.uniform(0, 0.05), random_.choice(names)) for _ in range(960)]
    retries = AccountRetries()

    def tell_turn(order, name, now_s):
        wait_s = order.count_turns(name, 1 + order.count_waiting(name)) * INTERVAL_S
        return now_s + retries.schedule(name, wait_s, INTERVAL_S, {}, now_s)

    def tell_same(order, name, now_s):
        return now_s + 0.1

    in_turn, _, turns_s = replay(FairOrder(), arrivals, 0.25, 3, tell_turn)
    plain, delays_s, same_s = replay(ArrivalOrder(), arrivals, 0.25, 3, tell_same)
    assert in_turn.total() > 0.95 * len(arrivals)
    assert plain.total() < 0.3 * len(arrivals)
    # 24 can be served in a tenth of a second.
    assert find_largest_crowd(turns_s) < 60 < find_largest_crowd(same_s)
    assert max(turns_s) < 6.0


def find_largest_crowd(times_s):
    """Return the largest number of returns in a tenth of a second."""
    return max(Counter(int(at_s * 10) for at_s in times_s).values())


def test_important_requests_of_an_account_go_first():
    order = FairOrder()
    for number, priority in enumerate((2, 1, 2, 0)):
        order.insert(Waiter("a", 9.0, number, "a", WorkTerms(priority)))
    assert [order.pop().number for _ in range(4)] == [3, 1, 0, 2]


def test_work_of_a_caller_that_left_is_hopeless():
    order = FairOrder()
    staying = Waiter("a", 9.0, 0, "a")
    leaving = Waiter("a", 9.0, 1, "a", WorkTerms(has_left=lambda: True))
    order.insert(staying)
    order.insert(leaving)
    assert order.list_hopeless(0.0, INTERVAL_S, SERVICE_S) == [leaving]


NAMES = st.sampled_from(["a", "b", "c", "d"])


@given(st.lists(NAMES | st.none(), max_size=200))
def test_no_account_is_passed_over_while_it_waits(steps):
    order = FairOrder()
    grants = {name: Counter() for name in "abcd"}
    for number, name in enumerate(steps):
        if name is not None:
            order.insert(Waiter(name, 9.0, number, name))
            continue
        waiter = order.pop()
        if waiter is None:
            continue
        # Grants to the others while an account waited, since its own last one.
        for other, counts in grants.items():
            if other == waiter.caller or not order.count_waiting(other):
                counts.clear()
            else:
                counts[waiter.caller] += 1
                assert counts[waiter.caller] <= 2
