"""Every fault at every step of a ballot."""

import asyncio

import pytest

from ebonyrack.core.clock import now_s
from ebonyrack.failover.ballot import Ballot
from ebonyrack.failover.bench_test import Writer
from ebonyrack.failover.bench_test import until
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.upstream import Upstream

OUTAGE_S = 0.5
STEPS = {"fence": "fence", "promote": "promote", "open": "follow"}


class Strike:
    """Lets one fault strike when the first ballot reaches a step."""

    def __init__(self, monkeypatch, bench, step):
        self.monkeypatch = monkeypatch
        self.bench = bench
        self.step = step
        self.has_struck = False
        self.tasks = []

    def start(self, coroutine):
        """Start a task that has to end without an error before the test does."""
        self.tasks.append(asyncio.create_task(coroutine))

    def before_step(self, fault):
        """Run a coroutine function with the ballot before its step begins."""
        real = getattr(Ballot, self.step)

        async def struck(ballot, *arguments):
            if not self.has_struck:
                self.has_struck = True
                await fault(ballot)
            return await real(ballot, *arguments)

        self.monkeypatch.setattr(Ballot, self.step, struck)

    def on_calls(self, is_sent, count):
        """Lose the first calls of the step, before or after they take effect."""
        real = Upstream.call
        function = f"ebonyrack_{STEPS[self.step]}"
        left = [count]

        async def struck(upstream, sql, timeout_s):
            if function not in sql or not left[0]:
                return await real(upstream, sql, timeout_s)
            left[0] -= 1
            self.has_struck = True
            if is_sent:
                await real(upstream, sql, timeout_s)
            raise UpstreamLostError("the answer was lost")

        self.monkeypatch.setattr(Upstream, "call", struck)


def lose_answers(strike):
    strike.on_calls(is_sent=True, count=2)


def lose_calls(strike):
    strike.on_calls(is_sent=False, count=2)


async def restart_later(standins, name):
    await asyncio.sleep(OUTAGE_S)
    await standins.restart(name)


async def thaw_later(standins, name):
    await asyncio.sleep(OUTAGE_S)
    standins.thaw(name)


async def heal_later(standins):
    await asyncio.sleep(OUTAGE_S)
    standins.heal()


def kill_a_replica(strike):
    async def fault(ballot):
        await strike.bench.standins.kill("up-3")
        strike.start(restart_later(strike.bench.standins, "up-3"))

    strike.before_step(fault)


def freeze_a_replica(strike):
    async def fault(ballot):
        strike.bench.standins.freeze("up-3")
        strike.start(thaw_later(strike.bench.standins, "up-3"))

    strike.before_step(fault)


def thaw_the_old_primary(strike):
    async def fault(ballot):
        strike.bench.standins.thaw("up-1")

    strike.before_step(fault)


def cut_the_replicas_apart(strike):
    async def fault(ballot):
        strike.bench.standins.cut("up-2", "up-3")
        strike.start(heal_later(strike.bench.standins))

    strike.before_step(fault)


def pause_until_another_has_won(strike):
    async def fault(ballot):
        others = [
            proxy.group
            for proxy in strike.bench.proxies.values()
            if proxy.group is not ballot.group
        ]
        term = ballot.term
        await until(lambda: any(group.term > term for group in others))

    strike.before_step(fault)


def compete(strike):
    async def fault(ballot):
        rival = strike.bench.by_rank()[-1].coordinator
        strike.start(rival.hold_ballot("rival", {}))
        await asyncio.sleep(0)

    strike.before_step(fault)


def stop_the_store(strike):
    async def fault(ballot):
        strike.bench.store.is_down = True

    strike.before_step(fault)


def isolate_the_coordinator(strike):
    async def fault(ballot):
        for proxy in strike.bench.proxies.values():
            if proxy.group is ballot.group:
                strike.bench.network.isolate(proxy.name)

    strike.before_step(fault)


FAULTS = [
    lose_answers,
    lose_calls,
    kill_a_replica,
    freeze_a_replica,
    thaw_the_old_primary,
    cut_the_replicas_apart,
    pause_until_another_has_won,
    compete,
    stop_the_store,
    isolate_the_coordinator,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("step", STEPS)
async def test_no_fault_at_a_step_of_the_ballot_loses_a_write(
    start_bench, monkeypatch, step, fault
):
    bench = await start_bench(proxies=3)
    writers = [
        Writer(bench, proxy, name) for name, proxy in sorted(bench.proxies.items())
    ]
    tasks = [asyncio.create_task(writer.run()) for writer in writers]
    try:
        await until(lambda: all(len(item.acknowledged) > 3 for item in writers))
        strike = Strike(monkeypatch, bench, step)
        fault(strike)
        bench.standins.freeze("up-1")
        await until(lambda: strike.has_struck)
        await until(lambda: bench.standins.primary() is not bench.standins["up-1"])
        seen = [len(item.acknowledged) for item in writers]
        await until(
            lambda: all(
                len(item.acknowledged) > count
                for item, count in zip(writers, seen, strict=True)
            )
        )
        await asyncio.gather(*strike.tasks)
        bench.network.cut.clear()
        bench.standins.thaw("up-1")
        await asyncio.sleep(0.05)
    finally:
        for task in tasks:
            task.cancel()
        done = await asyncio.gather(*tasks, return_exceptions=True)
    assert all(isinstance(item, asyncio.CancelledError) for item in done), done
    await bench.settle()
    bench.check_terms()
    requests = bench.read_requests("up-1")
    for writer in writers:
        writer.check(requests)


async def test_terms_of_a_store_outage_are_still_issued(start_bench):
    bench = await start_bench(proxies=1)
    bench.store.is_down = True
    proxy = bench.proxies["proxy-1"]
    for number, name in enumerate(("up-1", "up-2", "up-1", "up-2")):
        await until(lambda: proxy.group.primary() is not None)
        name = proxy.group.primary_name
        await bench.standins.kill(name)
        await proxy.write_until_acknowledged(f"r-{number}")
        await bench.standins.restart(name)
        await until(lambda: len(proxy.group.replicas()) == 2)
    bench.check_terms()


async def test_a_paused_coordinator_looks_again_before_it_acts(start_bench):
    bench = await start_bench(proxies=1)
    proxy = bench.proxies["proxy-1"]
    proxy.coordinator.pause.expected_s = now_s() - 10
    assert proxy.coordinator.pause.measure_pause() > 0
    answered_at_s = proxy.group.upstreams["up-1"].answered_at_s
    await proxy.coordinator.revalidate(10.0)
    assert proxy.group.upstreams["up-1"].answered_at_s > answered_at_s
    await proxy.write("r-0")
    assert proxy.group.primary_name == "up-1"
