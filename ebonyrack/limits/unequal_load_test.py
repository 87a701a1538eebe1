"""Grants by an owner beside equal floors, under one load of very unequal accounts.

The load: 34 proxies, 85 accounts whose sizes follow Zipf's law, callers that stay with
one proxy each, and one account that sends many times its usual for some seconds.
"""

import random
from collections import Counter

import pytest

from ebonyrack.limits.grant_book import GrantBook
from ebonyrack.limits.grant_terms import GrantTerms
from ebonyrack.limits.grant_terms import LimitBounds
from ebonyrack.limits.proxy_stock import ProxyStock
from ebonyrack.limits.shard import SHARD_COUNT
from ebonyrack.limits.shard import find_shard
from ebonyrack.limits.token_bucket import TokenBucket

BOUNDS = LimitBounds(window_s=5.0, overshoot=0.1, slack=20.0)
PROXY_COUNT = 34
ACCOUNT_COUNT = 85
ZIPF_EXPONENT = 1.2
OPERATIONS_PER_S = 470.0
LIMIT_FACTOR = 1.6
HOT_FACTOR = 7.5
HOT_FROM_S, HOT_TO_S, END_S = 10.0, 16.0, 20.0


class Load:
    """Accounts with their limits, and all operations in order of time."""

    def __init__(self, seed):
        draw = random.Random(seed)
        names = [f"account-{number}" for number in range(ACCOUNT_COUNT)]
        weights = [(number + 1) ** -ZIPF_EXPONENT for number in range(ACCOUNT_COUNT)]
        rates = [OPERATIONS_PER_S * weight / sum(weights) for weight in weights]
        self.hot = names[0]
        self.limits = {
            name: (LIMIT_FACTOR * rate, LIMIT_FACTOR * rate)
            for name, rate in zip(names, rates, strict=True)
        }
        self.operations = []
        for name, rate in zip(names, rates, strict=True):
            homes = draw.choices(range(PROXY_COUNT), k=max(1, round(rate * 2)))
            now_s = 0.0
            while now_s < END_S:
                is_hot = name == self.hot and HOT_FROM_S <= now_s < HOT_TO_S
                now_s += draw.expovariate(rate * (HOT_FACTOR if is_hot else 1.0))
                self.operations.append((now_s, name, draw.choice(homes)))
        self.operations.sort()


class Grants:
    """Each account's owner grants, proxies ask for what they need."""

    def __init__(self, load):
        self.books = [GrantBook(BOUNDS, -END_S) for _ in range(SHARD_COUNT)]
        self.stocks = [ProxyStock(f"proxy-{number}") for number in range(PROXY_COUNT)]
        self.names = {shard: [] for shard in range(SHARD_COUNT)}
        self.questions = 0
        for name in load.limits:
            self.names[find_shard(name)].append(name)
        for book in self.books:
            book.set_version(load.limits, 1, 0.0)
        for stock in self.stocks:
            stock.set_limits(load.limits, 1, 0.0)

    def admit(self, now_s, name, proxy):
        proxy_stock = self.stocks[proxy]
        stock = proxy_stock.accounts[name]
        stock.uses.record(now_s)
        token = stock.take(now_s)
        if token is not None and not stock.needs_more(now_s):
            return True
        if now_s >= stock.short_until_s:
            shard = find_shard(name)
            needed = {name: 1} if token is None else {}
            ask = proxy_stock.build_question(shard, needed, self.names[shard], now_s)
            reply = self.books[shard].answer(ask, now_s)
            proxy_stock.apply_reply(ask, reply, now_s, now_s)
            self.questions += 1
        return token is not None or stock.take(now_s) is not None


class EqualFloors:
    """Each proxy admits its equal part of each limit on its own."""

    def __init__(self, load):
        self.buckets = [
            {
                name: TokenBucket(
                    GrantTerms(rate / PROXY_COUNT, max(1.0, burst / PROXY_COUNT), 1.0),
                    0.0,
                    level=1.0,
                )
                for name, (rate, burst) in load.limits.items()
            }
            for _ in range(PROXY_COUNT)
        ]

    def admit(self, now_s, name, proxy):
        return self.buckets[proxy][name].take(1, now_s) == 1


class ExactLimit:
    """One bucket for each account, which no proxy of a fleet could ask for free."""

    def __init__(self, load):
        self.buckets = {
            name: TokenBucket(GrantTerms(rate, max(1.0, burst), 1.0), 0.0, burst)
            for name, (rate, burst) in load.limits.items()
        }

    def admit(self, now_s, name, proxy):
        return self.buckets[name].take(1, now_s) == 1


def play(load, way):
    """Return the admitted operations by account and part of the load."""
    admitted, times_s = Counter(), {name: [] for name in load.limits}
    for now_s, name, proxy in load.operations:
        if way.admit(now_s, name, proxy):
            admitted[name, now_s // BOUNDS.window_s] += 1
            times_s[name].append(now_s)
    return admitted, times_s


def count_excess(load, times_s):
    """Return the operations above what windows may hold, over all accounts."""
    excess = 0.0
    for name, (rate, burst) in load.limits.items():
        allowed = (rate * BOUNDS.window_s + burst) * (1 + BOUNDS.overshoot)
        allowed += BOUNDS.slack
        times, end, largest = times_s[name], 0, 0
        for start, start_s in enumerate(times):
            while end < len(times) and times[end] < start_s + BOUNDS.window_s:
                end += 1
            largest = max(largest, end - start)
        excess += max(0.0, largest - allowed)
    return excess


@pytest.mark.parametrize("seed", range(3))
def test_grants_refuse_little_below_the_limit_where_floors_refuse_most(seed):
    load = Load(seed)
    owed, _ = play(load, ExactLimit(load))
    grants = Grants(load)
    refused = {}
    for way in (grants, EqualFloors(load)):
        admitted, times_s = play(load, way)
        refused[type(way)] = sum(
            max(0, count - admitted[key]) for key, count in owed.items()
        ) / sum(owed.values())
        assert count_excess(load, times_s) == 0.0
    assert refused[Grants] < 0.005
    assert refused[EqualFloors] > 0.2
    # A counter in the store would be asked for each operation.
    assert grants.questions < len(load.operations)
