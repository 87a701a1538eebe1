"""118 proxies in front of a primary that accepts 73 connections, replayed."""

import heapq
import random

import pytest

from ebonyrack.placing.connection_share import SCARCE_PROBES_PER_S
from ebonyrack.placing.connection_share import ProxyCounts
from ebonyrack.placing.connection_share import compute_limit
from ebonyrack.placing.connection_share import compute_probe_probability
from ebonyrack.placing.connection_share import compute_share
from ebonyrack.placing.connection_share import compute_startup_share
from ebonyrack.placing.connection_share import is_scarce
from ebonyrack.placing.connection_share import keeps_scarce_connection

PROXIES = 118
NEAR_PROXIES = 40
CONNECTIONS = 73
SLOTS = 4
OPENING_S = 0.012
WORK_S = 0.015
STATEMENTS_PER_S = 60.0
TARGET_S = 0.4
USUAL_PROBE_INTERVAL_S = 0.4
PAUSE_S = (0.01, 0.04)
DURATION_S = 20.0


class Primary:
    """Slots and connections of the primary, with the proxies' policy.

    Attributes:
        keepers: Number of proxies that keep their connection open.
        is_open: Whether each proxy has an idle connection open.
        connections: Number of open connections.
        openings: Number of connections that were opened.
        slots: Times at which the slots become free.
    """

    def __init__(self, keepers):
        self.keepers = keepers
        self.is_open = [False] * PROXIES
        self.connections = 0
        self.openings = 0
        self.slots = [0.0] * SLOTS

    def occupy(self, now_s, work_s):
        done_s = max(heapq.heappop(self.slots), now_s) + work_s
        heapq.heappush(self.slots, done_s)
        return done_s

    def run(self, proxy, now_s, work_s):
        """Return when the work of a proxy ends; None if no connection is left."""
        if not self.is_open[proxy]:
            if self.connections >= CONNECTIONS:
                return None
            self.connections += 1
            self.is_open[proxy] = proxy < self.keepers
            self.openings += 1
            now_s = self.occupy(now_s, OPENING_S)
        return self.occupy(now_s, work_s) if work_s else now_s


def replay(keepers, probes_per_s):
    """Return the share of statements served in time, and the openings a statement."""
    random_ = random.Random(1)
    primary = Primary(keepers)
    events = []
    for kind, rate_per_s in (("statement", STATEMENTS_PER_S), ("probe", probes_per_s)):
        at_s = 0.0
        while (at_s := at_s + random_.expovariate(rate_per_s)) < DURATION_S:
            events.append((at_s, random_.random(), kind, random_.randrange(PROXIES)))
            if kind == "statement":
                events[-1] += (at_s,)
    owed = sum(event[2] == "statement" for event in events)
    heapq.heapify(events)
    in_time = 0
    while events:
        now_s, _, kind, proxy, *arrived = heapq.heappop(events)
        if kind == "close":
            primary.connections -= 1
            continue
        work_s = random_.expovariate(1 / WORK_S) if kind == "statement" else 0.0
        done_s = primary.run(proxy, now_s, work_s)
        if done_s is not None:
            if not primary.is_open[proxy]:
                heapq.heappush(events, (done_s, random_.random(), "close", proxy))
            if kind == "statement":
                in_time += done_s - arrived[0] <= TARGET_S
        elif kind == "statement" and now_s - arrived[0] < TARGET_S:
            again_s = now_s + random_.uniform(*PAUSE_S)
            event = (again_s, random_.random(), kind, proxy, *arrived)
            heapq.heappush(events, event)
    return in_time / owed, primary.openings / owed


def test_connections_from_hand_to_hand_serve_the_callers_of_every_proxy():
    usual_probes_per_s = PROXIES / USUAL_PROBE_INTERVAL_S
    equal_shares, _ = replay(PROXIES, usual_probes_per_s)
    with_usual_probes, _ = replay(0, usual_probes_per_s)
    from_hand_to_hand, openings = replay(0, SCARCE_PROBES_PER_S)
    kept_nearby, fewer_openings = replay(NEAR_PROXIES, SCARCE_PROBES_PER_S)
    assert equal_shares < 0.7
    assert with_usual_probes < 0.9
    assert from_hand_to_hand > 0.99
    assert kept_nearby > 0.99
    assert fewer_openings < 0.75 * openings


def test_only_near_proxies_that_leave_room_keep_a_connection():
    assert keeps_scarce_connection(CONNECTIONS, NEAR_PROXIES)
    assert not keeps_scarce_connection(CONNECTIONS, 60)
    assert not keeps_scarce_connection(CONNECTIONS, PROXIES)


def test_all_proxies_together_probe_at_the_given_rate():
    probability = compute_probe_probability(4.0, PROXIES, 0.1)
    assert PROXIES * probability / 0.1 == pytest.approx(4.0)
    assert compute_probe_probability(40.0, 1, 0.1) == 1.0


@pytest.mark.parametrize(
    ("maximum", "proxies", "expected"),
    [
        (73, 118, True),
        (73, 70, False),
        (82, 31, False),
        (80, 34, False),
        (43, 29, False),
    ],
)
def test_scarce_only_with_fewer_connections_than_proxies(maximum, proxies, expected):
    assert is_scarce(maximum, proxies) is expected
    if not expected:
        counts = ProxyCounts(proxies, proxies, 1)
        assert compute_limit(maximum, counts, False) == compute_share(maximum, proxies)


@pytest.mark.parametrize(("maximum", "proxies"), [(82, 31), (80, 34), (60, 17)])
def test_strongest_proxies_share_what_equal_shares_leave_over(maximum, proxies):
    limits = [
        compute_limit(maximum, ProxyCounts(proxies, proxies, rank), True)
        for rank in range(1, proxies + 1)
    ]
    assert limits == sorted(limits, reverse=True)
    assert max(limits) - min(limits) <= 1
    assert sum(limits) + min(limits) <= maximum - 2
    assert sum(limits) > 0.85 * maximum


def count_refused(proxies, maximum, hold):
    """Return how many proxies get no connection after losing power together.

    Args:
        proxies: Number of proxies, which come back one after the other.
        maximum: Connections that the upstream accepts.
        hold: Connections that each proxy opens as soon as it is back.
    """
    free = maximum - proxies * compute_share(maximum, proxies)
    refused = 0
    for _ in range(proxies):
        refused += free < 1
        free -= min(hold, free)
    return refused


@pytest.mark.parametrize(("proxies", "maximum"), [(5, 16), (5, 22), (4, 60), (7, 30)])
def test_last_proxy_after_a_loss_of_power_finds_a_connection(proxies, maximum):
    share = compute_startup_share(maximum, proxies)
    assert share >= 1
    assert count_refused(proxies, maximum, share) == 0
    # Two each, as before the loss, leave the last ones without any.
    assert count_refused(5, 16, compute_share(16, 5)) == 2
