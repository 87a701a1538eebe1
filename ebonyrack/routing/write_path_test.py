import asyncio

import pytest
from loguru import logger

from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LogPosition
from ebonyrack.routing.write_path import ACKNOWLEDGE_POLICIES
from ebonyrack.routing.write_path import LEASE_S
from ebonyrack.routing.write_path import acknowledge_write
from ebonyrack.routing.write_path import check_write_admitted
from ebonyrack.standins.group import StandinGroup
from ebonyrack.upstreams.group import DatabaseGroup
from ebonyrack.upstreams.lag import compute_confirm_lag

INSERT = "INSERT INTO bookings (slot, booker) VALUES (1, 'a')"


@pytest.fixture
async def standins():
    async with StandinGroup() as group:
        yield group


async def start_group(standins, **overrides):
    group = DatabaseGroup("scheduling", standins.section(**overrides), 6)
    await group.__aenter__()
    await group.wait_for_primary(now_s() + 5)
    while len(group.replicas()) < 2:
        await group.changed.wait(5)
    return group


@pytest.fixture
async def group(standins):
    group = await start_group(standins)
    yield group
    await group.__aexit__(None, None, None)


async def poll_until(group, condition):
    for _ in range(500):
        if condition():
            return
        await group.poll_all()
        await asyncio.sleep(0.01)
    raise AssertionError("the condition was not met")


async def insert(standins, group):
    connection = await group.primary().pool.acquire("tests", now_s() + 5)
    await connection.query(INSERT, 5.0)
    group.primary().pool.release(connection)
    return standins["up-1"].log.last


def get_refusal(group):
    with pytest.raises(RequestError) as caught:
        check_write_admitted(group)
    return caught.value


async def test_write_is_admitted_while_replicas_keep_up(standins, group):
    check_write_admitted(group)
    await insert(standins, group)
    await group.poll_all()
    check_write_admitted(group)


async def test_write_is_refused_up_front_while_the_best_majority_lags(standins):
    group = await start_group(standins, lag_refusal_s=0.05)
    standins["up-3"].options.receive_delay_s = 60.0
    await insert(standins, group)
    await poll_until(group, lambda: compute_confirm_lag(group) == 0.0)
    check_write_admitted(group)
    standins["up-2"].options.receive_delay_s = 60.0
    await insert(standins, group)
    await poll_until(group, lambda: compute_confirm_lag(group) > 0.05)
    error = get_refusal(group)
    assert error.kind is ErrorKind.REPLICAS_LAG
    assert error.retry_after_s > 0
    await group.__aexit__(None, None, None)


async def test_write_is_refused_up_front_without_replicas(standins, group):
    await standins.kill("up-2")
    await standins.kill("up-3")
    await group.poll_all()
    assert get_refusal(group).kind is ErrorKind.REPLICAS_LAG


async def test_write_is_refused_up_front_without_a_primary(standins, group):
    await standins.kill("up-1")
    await group.poll_all()
    error = get_refusal(group)
    assert error.kind is ErrorKind.NO_PRIMARY
    assert error.retry_after_s > 0


async def test_log_line_of_a_write_names_its_upstream(standins, group):
    lines = []
    handler = logger.add(lambda text: lines.append(text.record))
    try:
        connection = await group.primary().pool.acquire("tests", now_s() + 5)
        await connection.query(INSERT, 5.0)
        position = standins["up-1"].log.last
        await acknowledge_write(group, connection, position, now_s() + 5)
        group.primary().pool.release(connection)
    finally:
        logger.remove(handler)
    written = [line for line in lines if line["message"] == "write_acknowledged"]
    assert [line["extra"]["upstream"] for line in written] == ["up-1"]


async def test_primary_lease_acknowledges_alone_and_delays_promotion(standins, group):
    policy = ACKNOWLEDGE_POLICIES.get("primary_lease")()
    standins.set_lag(0.0, receive_delay_s=60.0)
    position = await insert(standins, group)
    await policy.acknowledge(group, position, now_s() + 1)
    assert 0 < policy.compute_promotion_delay(group) <= LEASE_S
    await standins.kill("up-1")
    await group.poll_all()
    group.upstreams["up-1"].answered_at_s -= LEASE_S
    assert policy.compute_promotion_delay(group) == 0.0
    with pytest.raises(RequestError) as caught:
        await policy.acknowledge(group, position, now_s() + 1)
    assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN


async def test_majority_does_not_acknowledge_a_write_held_by_one_upstream(
    standins, group
):
    policy = ACKNOWLEDGE_POLICIES.get("majority")()
    standins.set_lag(0.0, receive_delay_s=60.0)
    position = await insert(standins, group)
    with pytest.raises(RequestError) as caught:
        await policy.acknowledge(group, position, now_s() + 0.2)
    assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN


async def test_outcome_of_a_commit_in_an_unknown_term_is_unknown(standins, group):
    with pytest.raises(RequestError) as caught:
        await group.confirm(LogPosition(99, 1), now_s() + 0.1)
    assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN
