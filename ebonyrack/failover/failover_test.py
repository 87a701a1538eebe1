import asyncio

import pytest

from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.failover.bench_test import until
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.group import LEAVING_PRIMARY_GRACE_S


async def write_some(proxy, first, count):
    for number in range(first, first + count):
        await proxy.write(f"r-{number}")


async def test_killed_primary_is_replaced_without_losing_acknowledged_writes(
    start_bench,
):
    bench = await start_bench()
    proxy = bench.proxies["proxy-1"]
    await write_some(proxy, 0, 5)
    await bench.standins.kill("up-1")
    await proxy.write_until_acknowledged("r-5")
    new = proxy.group.primary_name
    assert new in ("up-2", "up-3")
    assert bench.read_requests(new) == [f"r-{number}" for number in range(6)]


async def test_frozen_primary_follows_the_new_one_after_it_resumes(start_bench):
    bench = await start_bench(proxies=3)
    proxy = bench.proxies["proxy-1"]
    await write_some(proxy, 0, 3)
    bench.standins.freeze("up-1")
    await proxy.write_until_acknowledged("r-3")
    bench.standins.resume("up-1")
    term = proxy.group.term
    await until(lambda: proxy.group.upstreams["up-1"].is_following(term))
    await until(lambda: bench.read_requests("up-1") == ["r-0", "r-1", "r-2", "r-3"])


async def test_restarted_primary_follows_the_new_one(start_bench):
    bench = await start_bench()
    proxy = bench.proxies["proxy-1"]
    await bench.standins.kill("up-1")
    await proxy.write_until_acknowledged("r-0")
    await bench.standins.restart("up-1")
    await until(lambda: len(proxy.group.replicas()) == 2)


async def test_primary_cut_from_its_replicas_is_replaced(start_bench):
    bench = await start_bench(proxies=3)
    proxy = bench.proxies["proxy-1"]
    await write_some(proxy, 0, 2)
    bench.standins.cut("up-1", "up-2")
    bench.standins.cut("up-1", "up-3")
    _, position = await proxy.insert("r-alone", now_s() + 5)
    await until(lambda: proxy.group.primary_name != "up-1")
    await proxy.write_until_acknowledged("r-2")
    assert proxy.group.primary_name != "up-1"
    with pytest.raises(RequestError) as caught:
        await proxy.group.confirm(position, now_s() + 5)
    assert caught.value.kind is ErrorKind.UPSTREAM_LOST
    term = proxy.group.term
    for _ in range(10):
        await proxy.group.poll_all()
        await proxy.group.changed.wait(0.05)
    assert proxy.group.term == term
    bench.standins.heal()
    await until(lambda: bench.read_requests("up-1") == ["r-0", "r-1", "r-2"])


async def test_broken_link_of_one_proxy_does_not_replace_the_primary(start_bench):
    bench = await start_bench(proxies=3)
    proxy = bench.by_rank()[0]
    upstream = proxy.group.upstreams["up-1"]
    query_status = upstream.query_status

    async def fail(deadline_s):
        raise UpstreamLostError("the link is down")

    upstream.query_status = fail
    await until(lambda: upstream.state == "lost")
    for _ in range(20):
        await proxy.group.poll_all()
        await bench.proxies["proxy-1"].group.changed.wait(0.05)
    assert {item.group.primary_name for item in bench.proxies.values()} == {"up-1"}
    assert {item.group.term for item in bench.proxies.values()} == {1}
    upstream.query_status = query_status
    await proxy.write("r-0")


async def test_group_without_a_majority_rejects_writes(start_bench):
    bench = await start_bench()
    proxy = bench.proxies["proxy-1"]
    await bench.standins.kill("up-1")
    await bench.standins.kill("up-2")
    await until(lambda: proxy.group.primary() is None)
    with pytest.raises(RequestError) as caught:
        await proxy.write("r-0", wait_s=0.5)
    assert caught.value.kind is ErrorKind.NO_PRIMARY
    assert caught.value.retry_after_s > 0
    await bench.standins.restart("up-2")
    await proxy.write_until_acknowledged("r-0")
    assert bench.read_requests("up-3") == ["r-0"]


async def test_write_outcome_is_unknown_without_a_majority(start_bench):
    bench = await start_bench()
    proxy = bench.proxies["proxy-1"]
    bench.standins.set_lag(0.0, receive_delay_s=60.0)
    with pytest.raises(RequestError) as caught:
        await proxy.write("r-0", wait_s=0.3)
    assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN


async def test_commit_that_the_new_primary_lacks_is_reported_as_not_run(start_bench):
    bench = await start_bench()
    proxy = bench.proxies["proxy-1"]
    bench.standins.set_lag(0.0, receive_delay_s=60.0)
    deadline_s = now_s() + 10
    _, position = await proxy.insert("r-0", deadline_s)
    confirming = asyncio.create_task(proxy.group.confirm(position, deadline_s))
    await asyncio.sleep(0)
    await bench.standins.kill("up-1")
    bench.standins.set_lag(0.0)
    with pytest.raises(RequestError) as caught:
        await confirming
    assert caught.value.kind is ErrorKind.UPSTREAM_LOST
    assert bench.read_requests(proxy.group.primary_name) == []
    await bench.standins.restart("up-1")
    await until(lambda: bench.read_requests("up-1") == [])


async def test_commit_that_the_new_primary_holds_is_acknowledged(start_bench):
    bench = await start_bench()
    proxy = bench.proxies["proxy-1"]
    deadline_s = now_s() + 10
    _, position = await proxy.insert("r-0", deadline_s)
    await until(lambda: bench.read_requests("up-2") == bench.read_requests("up-3"))
    await bench.standins.kill("up-1")
    await until(lambda: proxy.group.primary_name != "up-1")
    await proxy.group.confirm(position, deadline_s)
    assert bench.read_requests(proxy.group.primary_name) == ["r-0"]


async def test_planned_switchover_interrupts_no_write(start_bench):
    bench = await start_bench(proxies=3)
    coordinator = bench.by_rank()[0].coordinator
    stop = asyncio.Event()
    written = []

    async def keep_writing(worker, proxy):
        number = 0
        while not stop.is_set():
            await proxy.write(f"r-{worker}-{number}")
            written.append(f"r-{worker}-{number}")
            number += 1

    workers = [
        asyncio.create_task(keep_writing(worker, proxy))
        for worker, proxy in enumerate(2 * list(bench.proxies.values()))
    ]
    await until(lambda: len(written) > 20)
    outcome = await coordinator.switch_over("up-3")
    assert outcome.succeeded, outcome.text
    count = len(written)
    await until(lambda: len(written) > count + 20)
    stop.set()
    await asyncio.gather(*workers)
    assert {item.group.primary_name for item in bench.proxies.values()} == {"up-3"}
    assert sorted(bench.read_requests("up-3")) == sorted(written)


async def test_switchover_to_a_target_with_higher_latency_succeeds(start_bench):
    bench = await start_bench(proxies=2)
    bench.standins.delay_answers("up-2", 0.03)
    outcome = await bench.by_rank()[0].coordinator.switch_over("up-2")
    assert outcome.succeeded, outcome.text


async def test_switchover_fails_while_a_transaction_is_open(start_bench):
    bench = await start_bench(proxies=2)
    first, second = bench.by_rank()
    primary = second.group.primary()
    connection = await primary.pool.acquire("tests", now_s() + 5)
    await connection.query("BEGIN", 5.0)
    outcome = await first.coordinator.switch_over(None)
    assert (outcome.succeeded, outcome.text) == (False, "transactions are still open")
    assert second.group.writes_held_until_s == 0.0
    answer = await connection.query("COMMIT", 5.0)
    assert answer.error is None
    primary.pool.release(connection)
    outcome = await first.coordinator.switch_over(None)
    assert outcome.succeeded, outcome.text


async def test_leaving_primary_is_replaced(start_bench):
    bench = await start_bench(proxies=3)
    for proxy in bench.proxies.values():
        proxy.group.mark_leaving("up-1", True)
    proxy = bench.proxies["proxy-1"]
    await until(lambda: proxy.group.primary_name not in (None, "up-1"))
    await proxy.write_until_acknowledged("r-0")
    assert not proxy.group.upstreams["up-1"].pool.is_accepting


async def test_three_proxies_coordinate_and_a_dead_one_is_replaced(
    start_bench,
):
    bench = await start_bench(proxies=5)
    await until(
        lambda: (
            sorted(
                proxy.coordinator.rank
                for proxy in bench.proxies.values()
                if proxy.coordinator.rank is not None
            )
            == [0, 1, 2]
        )
    )
    first = next(item for item in bench.proxies.values() if item.coordinator.rank == 0)
    await bench.stop_proxy(first.name)
    await until(
        lambda: sum(item.group.is_coordinator for item in bench.proxies.values()) == 3
    )
    await bench.standins.kill("up-1")
    for number, proxy in enumerate(bench.proxies.values()):
        await proxy.write_until_acknowledged(f"r-{number}")
    assert len({item.group.primary_name for item in bench.proxies.values()}) == 1


async def test_primary_is_replaced_when_the_first_coordinator_dies_with_it(start_bench):
    bench = await start_bench(proxies=3)
    first, second, third = bench.by_rank()
    await bench.standins.kill("up-1")
    # The others still consider it live; the pre-vote succeeds without its vote.
    bench.network.isolate(first.name)
    await first.coordinator.__aexit__(None, None, None)
    await second.write_until_acknowledged("r-0")
    await third.write_until_acknowledged("r-1")


async def test_replicas_confirm_the_loss_when_no_peer_is_reachable(start_bench):
    bench = await start_bench(proxies=2)
    bench.network.isolate("proxy-1")
    bench.standins.freeze("up-1")
    for proxy in bench.proxies.values():
        await proxy.write_until_acknowledged(f"r-{proxy.name}")


async def test_proxy_cut_from_peers_and_primary_does_not_replace_the_primary(
    start_bench,
):
    bench = await start_bench(proxies=2)
    bench.network.isolate("proxy-1")
    proxy = bench.by_rank()[0]

    async def fail(deadline_s):
        raise UpstreamLostError("the link is down")

    proxy.group.upstreams["up-1"].query_status = fail
    await until(lambda: proxy.group.upstreams["up-1"].state == "lost")
    for _ in range(20):
        await proxy.group.poll_all()
        await proxy.group.changed.wait(0.02)
    assert {item.group.term for item in bench.proxies.values()} == {1}


async def test_freeze_is_detected_while_connections_are_being_opened(start_bench):
    bench = await start_bench()
    proxy = bench.proxies["proxy-1"]
    upstream = proxy.group.upstreams["up-1"]
    bench.standins.freeze("up-1")
    opening = asyncio.create_task(upstream.pool.acquire("tests", now_s() + 10))
    warming = asyncio.create_task(upstream.pool.warm_up(3))
    await until(lambda: proxy.group.primary_name != "up-1")
    # Both tasks end although the frozen primary does not answer.
    for task in (opening, warming):
        try:
            upstream.pool.release(await task)
        except UpstreamLostError:
            pass
    assert upstream.pool.opening == 0
    assert upstream.state == "lost"


async def test_leaving_upstream_gets_no_new_work(start_bench):
    bench = await start_bench()
    proxy = bench.proxies["proxy-1"]
    proxy.group.mark_leaving("up-2", True)
    assert not proxy.group.upstreams["up-2"].pool.is_accepting
    assert [item.name for item in proxy.group.replicas()] == ["up-3"]
    await proxy.write("r-0")
    proxy.group.mark_leaving("up-2", False)
    assert proxy.group.upstreams["up-2"].pool.is_accepting
    # An upstream can also report itself as leaving.
    bench.standins["up-3"].leaving = True
    await until(lambda: not proxy.group.upstreams["up-3"].pool.is_accepting)


async def test_leaving_primary_without_a_successor_rejects_writes_after_grace_period(
    start_bench,
):
    bench = await start_bench()
    proxy = bench.proxies["proxy-1"]
    await bench.standins.kill("up-2")
    await bench.standins.kill("up-3")
    proxy.group.mark_leaving("up-1", True)
    proxy.group.leaving_since_s["up-1"] -= LEAVING_PRIMARY_GRACE_S
    with pytest.raises(RequestError) as caught:
        await proxy.write("r-0", wait_s=0.2)
    assert caught.value.kind is ErrorKind.NO_PRIMARY


async def test_group_applies_a_changed_section(start_bench):
    bench = await start_bench()
    proxy = bench.proxies["proxy-1"]
    section = bench.standins.section()
    kept = proxy.group.upstreams["up-1"]
    smaller = section.model_copy(update={"upstreams": section.upstreams[:2]})
    proxy.group.reconfigure(smaller)
    assert set(proxy.group.upstreams) == {"up-1", "up-2"}
    assert (proxy.group.majority, proxy.group.upstreams["up-1"]) == (2, kept)
    await proxy.write("r-0")
    proxy.group.reconfigure(section)
    await until(lambda: len(proxy.group.replicas()) == 2)
    assert proxy.group.upstreams["up-1"] is kept
    await proxy.write("r-1")


async def test_group_without_a_primary_at_the_start_gets_one(start_bench):
    bench = await start_bench(proxies=0)
    for name in ("up-1", "up-2", "up-3"):
        await bench.standins.kill(name)
        await bench.standins.restart(name)
    assert bench.standins.primary() is None
    for number in range(3):
        await bench.add_proxy(f"proxy-{number + 1}")
    for name, proxy in bench.proxies.items():
        await proxy.write_until_acknowledged(f"r-{name}")
    bench.check_terms()


async def test_work_on_a_leaving_upstream_ends_after_the_limit(start_bench):
    bench = await start_bench()
    group = bench.proxies["proxy-1"].group
    upstream = group.upstreams["up-2"]
    connection = await upstream.pool.acquire("tests", now_s() + 5)
    await connection.query("BEGIN", 5.0)
    group.mark_leaving("up-2", True)
    await group.poll_all()
    assert not connection.is_closed
    group.leaving_since_s["up-2"] -= group.section.leaving_limit_s
    await until(lambda: connection.is_closed)
    upstream.pool.release(connection)
