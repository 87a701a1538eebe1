"""Every kind of primary failure, and every fault at every step of a ballot."""

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


class FaultInjector:
    """Injects one fault when the first ballot reaches a step."""

    def __init__(self, monkeypatch, bench, step):
        self.monkeypatch = monkeypatch
        self.bench = bench
        self.step = step
        self.has_injected = False
        self.tasks = []

    def start(self, coroutine):
        """Start a task that must finish without an error before the test ends."""
        self.tasks.append(asyncio.create_task(coroutine))

    def inject_before_step(self, fault):
        """Run a fault with the ballot before the step begins."""
        real = getattr(Ballot, self.step)

        async def call_with_fault(ballot, *arguments):
            if not self.has_injected:
                self.has_injected = True
                await fault(ballot)
            return await real(ballot, *arguments)

        self.monkeypatch.setattr(Ballot, self.step, call_with_fault)

    def inject_into_calls(self, takes_effect, count):
        """Fail the first calls of the step, before or after they take effect."""
        real = Upstream.call
        function = f"ebonyrack_{STEPS[self.step]}"
        left = [count]

        async def call_with_fault(upstream, sql, timeout_s):
            if function not in sql or not left[0]:
                return await real(upstream, sql, timeout_s)
            left[0] -= 1
            self.has_injected = True
            if takes_effect:
                await real(upstream, sql, timeout_s)
            raise UpstreamLostError("the answer was lost")

        self.monkeypatch.setattr(Upstream, "call", call_with_fault)


def lose_answers(injector):
    injector.inject_into_calls(takes_effect=True, count=2)


def lose_calls(injector):
    injector.inject_into_calls(takes_effect=False, count=2)


async def restart_later(standins, name):
    await asyncio.sleep(OUTAGE_S)
    await standins.restart(name)


async def resume_later(standins, name):
    await asyncio.sleep(OUTAGE_S)
    standins.resume(name)


async def heal_later(standins):
    await asyncio.sleep(OUTAGE_S)
    standins.heal()


def kill_a_replica(injector):
    async def fault(ballot):
        await injector.bench.standins.kill("up-3")
        injector.start(restart_later(injector.bench.standins, "up-3"))

    injector.inject_before_step(fault)


def freeze_a_replica(injector):
    async def fault(ballot):
        injector.bench.standins.freeze("up-3")
        injector.start(resume_later(injector.bench.standins, "up-3"))

    injector.inject_before_step(fault)


def resume_the_old_primary(injector):
    async def fault(ballot):
        injector.bench.standins.resume("up-1")

    injector.inject_before_step(fault)


def cut_the_replicas_apart(injector):
    async def fault(ballot):
        injector.bench.standins.cut("up-2", "up-3")
        injector.start(heal_later(injector.bench.standins))

    injector.inject_before_step(fault)


def pause_until_another_has_won(injector):
    async def fault(ballot):
        others = [
            proxy.group
            for proxy in injector.bench.proxies.values()
            if proxy.group is not ballot.group
        ]
        term = ballot.term
        await until(lambda: any(group.term > term for group in others))

    injector.inject_before_step(fault)


def start_a_competing_ballot(injector):
    async def fault(ballot):
        competitor = injector.bench.by_rank()[-1].coordinator
        injector.start(competitor.run_ballot("competing", {}))
        await asyncio.sleep(0)

    injector.inject_before_step(fault)


def stop_the_store(injector):
    async def fault(ballot):
        injector.bench.store.is_down = True

    injector.inject_before_step(fault)


def isolate_the_coordinator(injector):
    async def fault(ballot):
        for proxy in injector.bench.proxies.values():
            if proxy.group is ballot.group:
                injector.bench.network.isolate(proxy.name)

    injector.inject_before_step(fault)


FAULTS = [
    lose_answers,
    lose_calls,
    kill_a_replica,
    freeze_a_replica,
    resume_the_old_primary,
    cut_the_replicas_apart,
    pause_until_another_has_won,
    start_a_competing_ballot,
    stop_the_store,
    isolate_the_coordinator,
]


def kill(standins):
    return standins.kill("up-1")


async def freeze(standins):
    standins.freeze("up-1")


async def cut_off(standins):
    for other in ("proxies", "up-2", "up-3"):
        standins.cut("up-1", other)


async def cut_from_proxies(standins):
    standins.cut("up-1", "proxies")


async def cut_requests(standins):
    standins.cut("proxies", "up-1", one_way=True)


async def cut_answers(standins):
    standins.cut("up-1", "proxies", one_way=True)


async def cut_from_replicas(standins):
    for other in ("up-2", "up-3"):
        standins.cut("up-1", other)


async def cut_log(standins):
    for other in ("up-2", "up-3"):
        standins.cut("up-1", other, one_way=True)


FAILURES = [
    kill,
    freeze,
    cut_off,
    cut_from_proxies,
    cut_requests,
    cut_answers,
    cut_from_replicas,
    cut_log,
]


def get_name(function):
    return function.__name__


class WritersUnderFault:
    """Callers that write through all proxies during a fault, and the final checks."""

    def __init__(self, bench):
        self.bench = bench
        self.writers = [
            Writer(bench, proxy, name) for name, proxy in sorted(bench.proxies.items())
        ]
        self.tasks = []

    async def __aenter__(self):
        self.tasks = [asyncio.create_task(writer.run()) for writer in self.writers]
        await self.wait_for_writes(3)
        return self

    async def __aexit__(self, *error):
        for task in self.tasks:
            task.cancel()
        done = await asyncio.gather(*self.tasks, return_exceptions=True)
        assert all(isinstance(item, asyncio.CancelledError) for item in done), done

    async def wait_for_writes(self, count):
        """Wait until each caller has a number of further writes acknowledged."""
        wanted = [len(writer.acknowledged) + count for writer in self.writers]
        await until(
            lambda: all(
                len(writer.acknowledged) >= number
                for writer, number in zip(self.writers, wanted, strict=True)
            )
        )

    async def check(self):
        """End all faults and compare the log with the reported outcomes."""
        await self.bench.wait_until_converged()
        self.bench.check_terms()
        requests = self.bench.read_requests("up-1")
        for writer in self.writers:
            writer.check(requests)


@pytest.mark.parametrize("failure", FAILURES, ids=get_name)
async def test_no_failure_of_the_primary_loses_a_write(start_bench, failure):
    bench = await start_bench(proxies=3)
    async with WritersUnderFault(bench) as callers:
        await failure(bench.standins)
        await until(lambda: bench.standins.primary() is not bench.standins["up-1"])
        await callers.wait_for_writes(2)
        # The old primary comes back while the callers continue to write.
        if not bench.standins["up-1"].is_running:
            await bench.standins.restart("up-1")
        bench.standins.resume("up-1")
        bench.standins.heal()
        await callers.wait_for_writes(2)
    await callers.check()


def has_later_term(standins, term):
    """Return whether a primary runs in a later term than a given one."""
    primary = standins.primary()
    return primary is not None and primary.term > term


@pytest.mark.parametrize("fault", FAULTS, ids=get_name)
@pytest.mark.parametrize("step", STEPS)
async def test_no_fault_at_a_step_of_the_ballot_loses_a_write(
    start_bench, monkeypatch, step, fault
):
    bench = await start_bench(proxies=3)
    async with WritersUnderFault(bench) as callers:
        injector = FaultInjector(monkeypatch, bench, step)
        fault(injector)
        # A pause of this process may have caused a ballot before.
        primary = bench.standins.primary()
        term = primary.term
        bench.standins.freeze(primary.name)
        await until(lambda: injector.has_injected)
        # Once resumed, it may be promoted again, so check the term.
        await until(lambda: has_later_term(bench.standins, term))
        await callers.wait_for_writes(1)
        await asyncio.gather(*injector.tasks)
        bench.network.cut.clear()
        bench.standins.resume(primary.name)
        await callers.wait_for_writes(1)
    await callers.check()


async def test_terms_are_still_issued_during_a_store_outage(start_bench):
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


async def test_coordinator_polls_the_group_after_a_pause(start_bench):
    bench = await start_bench(proxies=1)
    proxy = bench.proxies["proxy-1"]
    proxy.coordinator.pause_detector.expected_s = now_s() - 10
    assert proxy.coordinator.pause_detector.measure_pause() > 0
    answered_at_s = proxy.group.upstreams["up-1"].answered_at_s
    await proxy.coordinator.revalidate(10.0)
    assert proxy.group.upstreams["up-1"].answered_at_s > answered_at_s
    await proxy.write("r-0")
    assert proxy.group.primary_name == "up-1"
