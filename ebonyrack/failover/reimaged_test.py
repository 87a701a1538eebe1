import pytest

from ebonyrack.failover.bench_test import until
from ebonyrack.routing.read_index import ReadIndex

FAR_BEHIND_S = 60.0


async def write_held_by(bench, proxy, name):
    """Write a booking that only one replica receives; return its log position."""
    for upstream in bench.standins.upstreams.values():
        if upstream.name != name:
            upstream.options.receive_delay_s = FAR_BEHIND_S
    return await proxy.write("r-0")


async def reimage(bench, name):
    """Restart an upstream with an empty disk; wait until every proxy reaches it."""
    await bench.standins.kill(name)
    views = [proxy.group.upstreams[name] for proxy in bench.proxies.values()]
    await until(lambda: all(view.state == "lost" for view in views))
    await bench.standins.reimage(name)
    await until(lambda: all(view.is_reachable for view in views))


async def start_with_reimaged_replica(start_bench, proxies=1):
    """Start a bench; reimage the only replica that confirmed a write."""
    bench = await start_bench(proxies=proxies)
    proxy = bench.proxies["proxy-1"]
    position = await write_held_by(bench, proxy, "up-2")
    bench.standins["up-2"].options.receive_delay_s = FAR_BEHIND_S
    await reimage(bench, "up-2")
    return bench, proxy, position


@pytest.mark.parametrize("proxies", [1, 3])
async def test_grant_of_a_reimaged_replica_does_not_count_in_the_majority(
    start_bench, proxies
):
    bench, proxy, _ = await start_with_reimaged_replica(start_bench, proxies)
    await bench.standins.kill("up-1")
    first = bench.by_rank()[0]
    await until(lambda: first.coordinator.failures > 1)
    assert {item.group.primary_name for item in bench.proxies.values()} == {"up-1"}
    await bench.wait_until_converged()
    await proxy.write_until_acknowledged("r-1")
    await bench.wait_until_converged()
    for name in bench.standins.names:
        assert bench.read_requests(name) == ["r-0", "r-1"]


async def test_read_index_queries_the_primary_if_a_replica_was_reimaged(start_bench):
    _, proxy, position = await start_with_reimaged_replica(start_bench)
    async with ReadIndex(proxy.group) as read_index:
        assert await read_index.fetch() >= position


async def test_reimaged_replica_counts_again_once_it_has_caught_up(start_bench):
    bench, proxy, _ = await start_with_reimaged_replica(start_bench)
    assert proxy.group.upstreams["up-2"].is_regressed
    # Entries in flight keep their delay; entries on a new connection have none.
    bench.standins.set_lag(0.0)
    await bench.standins.kill("up-3")
    await bench.standins.kill("up-2")
    await bench.standins.restart("up-2")
    await until(lambda: not proxy.group.upstreams["up-2"].is_regressed)
    await proxy.write_until_acknowledged("r-1")
    await bench.standins.kill("up-1")
    await bench.standins.restart("up-3")
    await proxy.write_until_acknowledged("r-2")
    await bench.wait_until_converged()
    assert bench.read_requests("up-2") == ["r-0", "r-1", "r-2"]


async def test_reimaged_primary_is_replaced(start_bench):
    bench = await start_bench(proxies=3)
    proxy = bench.proxies["proxy-1"]
    await proxy.write("r-0")
    await bench.standins.reimage("up-1")
    await proxy.write_until_acknowledged("r-1")
    assert proxy.group.primary_name != "up-1"
    await bench.wait_until_converged()
    assert bench.read_requests("up-1") == ["r-0", "r-1"]
    await until(lambda: not proxy.group.upstreams["up-1"].is_regressed)
