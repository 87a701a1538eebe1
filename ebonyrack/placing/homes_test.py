import random

import pytest

from ebonyrack.core.address import Address
from ebonyrack.peers.proxy_entry import ProxyEntry
from ebonyrack.placing.connection_share import compute_share
from ebonyrack.placing.connection_share import is_scarce
from ebonyrack.placing.homes import HomeLoad
from ebonyrack.placing.homes import compute_rank
from ebonyrack.placing.homes import order_homes
from ebonyrack.placing.homes import plan_homes

LIMIT = 73
SHARES = (0.361, 0.72, 1.25, 2.15)
GROUPS = [f"catalogue-{number}" for number in range(40)]


def build_fleet(count):
    return [
        ProxyEntry(
            f"front-{number}",
            Address("10.0.0.1", number),
            f"dc-{number % 3}",
            SHARES[number % len(SHARES)],
            "1",
        )
        for number in range(count)
    ]


def plan(fleet, group="catalogue", live=None):
    return plan_homes(group, LIMIT, live or len(fleet), fleet)


@pytest.mark.parametrize("count", [1, 5, 31, 70])
def test_proxies_with_connections_of_their_own_need_no_homes(count):
    assert not is_scarce(LIMIT, count)
    assert plan(build_fleet(count)) is None


@pytest.mark.parametrize("count", [118, 300])
def test_homes_hold_several_connections_where_equal_shares_pass_the_limit(count):
    fleet = build_fleet(count)
    assert count * compute_share(LIMIT, count) > LIMIT
    for group in GROUPS:
        found = plan(fleet, group)
        assert len(found.homes) >= 2
        assert found.connection_share >= 7
        assert len(found.homes) * found.connection_share < LIMIT
        assert {home.data_centre for home in found.homes.values()} == {
            entry.data_centre for entry in fleet
        }


def test_each_data_centre_has_as_many_homes():
    # All fronts of a data centre hand their work to its homes: one home of six would
    # get a third of the work, as it can where the six are the first of all proxies.
    fleet = build_fleet(118)

    def find_fewest(homes):
        centres = [home.data_centre for home in homes]
        return min(centres.count(name) for name in ("dc-0", "dc-1", "dc-2"))

    first_of_all = [
        sorted(fleet, key=lambda entry, group=group: compute_rank(group, entry))[:6]
        for group in GROUPS
    ]
    assert min(map(find_fewest, first_of_all)) < 2
    assert {find_fewest(plan(fleet, group).homes.values()) for group in GROUPS} == {2}


@pytest.mark.parametrize("count", [118, 300])
def test_homes_are_spread_by_processor_share(count):
    fleet = build_fleet(count)
    times = dict.fromkeys(SHARES, 0)
    for number in range(300):
        for home in plan(fleet, f"group-{number}").homes.values():
            times[home.processor_share] += 1
    counts = list(times.values())
    assert counts == sorted(counts)
    assert times[2.15] > 3 * times[0.361]


@pytest.mark.parametrize("count", [118, 300])
def test_one_proxy_more_or_less_moves_few_homes(count):
    fleet = build_fleet(count)
    for group in GROUPS:
        homes = set(plan(fleet, group).homes)
        for removed in random.Random(1).sample(fleet, 20):
            others = [entry for entry in fleet if entry is not removed]
            after = set(plan(others, group).homes)
            assert homes - after <= {removed.name}
            assert len(after - homes) <= len(homes - after)
    assert set(plan(fleet, live=count + 9).homes) == set(plan(fleet).homes)


def test_views_that_differ_stay_within_the_connections():
    # Each proxy misses one or two others, as in the seconds after they were replaced.
    fleet = build_fleet(118)
    for group in GROUPS:
        for seed in range(5):
            left, came = random.Random(seed).sample(fleet, 2)
            views = [
                [entry for entry in fleet if entry is not left],
                [entry for entry in fleet if entry is not came],
                [entry for entry in fleet if entry not in (left, came)],
                fleet,
            ]
            plans = [plan(view, group) for view in views]
            homes = set().union(*(found.homes for found in plans))
            assert len(homes) * max(found.connection_share for found in plans) < LIMIT


def test_without_enough_proxies_to_ask_there_are_no_homes():
    assert plan(build_fleet(3), live=118) is None


def build_load(number, **changes):
    values = {
        "is_near": False,
        "is_linked": True,
        "is_avoided": False,
        "outstanding": 0,
        **changes,
    }
    return HomeLoad(build_fleet(number + 1)[number], **values)


def test_homes_are_asked_in_the_order_of_health_distance_and_load():
    near, idle_near = build_load(2, is_near=True, outstanding=9), None
    idle_near = build_load(6, is_near=True)
    far = build_load(3)
    unlinked = build_load(7, is_near=True, is_linked=False)
    avoided = build_load(11, is_near=True, is_avoided=True)
    loads = [avoided, unlinked, far, near, idle_near]
    expected = [idle_near, near, far, unlinked, avoided]
    assert order_homes(loads, random.random) == expected


def test_work_is_spread_over_near_homes_by_processor_share():
    # 1000 statements, 40 outstanding at a time, beside always asking the first home.
    homes = [2, 3]
    outstanding = dict.fromkeys(homes, 0)
    asked = dict.fromkeys(homes, 0)
    queue = []
    for _ in range(1000):
        loads = [
            build_load(number, is_near=True, outstanding=outstanding[number])
            for number in homes
        ]
        name = order_homes(loads, random.Random(1).random)[0].entry.name
        number = int(name.removeprefix("front-"))
        asked[number] += 1
        outstanding[number] += 1
        queue.append(number)
        if len(queue) > 40:
            outstanding[queue.pop(0)] -= 1
    assert 1.4 < asked[3] / asked[2] < 2.1
