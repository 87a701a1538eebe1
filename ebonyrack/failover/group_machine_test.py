"""Random faults in one group, checked against the outcomes reported to callers."""

import asyncio
from contextlib import AsyncExitStack

import pytest
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from ebonyrack.failover import coordinator as coordinator_module
from ebonyrack.failover import renewal as renewal_module
from ebonyrack.failover import slowness as slowness_module
from ebonyrack.failover.ballot import Ballot
from ebonyrack.failover.bench_test import Bench
from ebonyrack.failover.bench_test import Writer
from ebonyrack.failover.bench_test import until
from ebonyrack.failover.safeguards import Safeguards
from ebonyrack.standins.group import StandinGroup
from ebonyrack.upstreams.connection import UpstreamLostError

PROXIES = ("proxy-1", "proxy-2", "proxy-3")
UPSTREAMS = ("up-1", "up-2", "up-3")
STEP_LIMIT_S = 60.0
# Time for callers to write after each step.
STEP_TIME_S = 0.04
LONG_LAG_S = 1.0
# An example has many term changes; renewals must still finish within its time limits.
QUICK_RENEWAL = {"BALLOT_GRACE_S": 0.2, "LONGEST_PAUSE_S": 0.5}
QUICK = {"probe_interval_s": 0.02, "suspect_after_s": 0.1, "lag_refusal_s": 1.0}
QUICK |= {"slow_answer_s": 0.03, "slow_after_s": 0.1}
SLOW_ANSWER_S = 0.06
MACHINE_SETTINGS = settings(
    max_examples=16,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=False,
    # The outcome depends on timing, so a shrunk example need not fail in the same way.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)


class GatedBallot(Ballot):
    """A ballot that waits before the promotion while its gate is closed."""

    async def promote(self, candidate):
        await self.group.gate.wait()
        return await super().promote(candidate)


class GroupMachine(RuleBasedStateMachine):
    """Three upstreams, three proxies and a caller that writes through each."""

    safeguards = Safeguards()
    overrides = QUICK

    @initialize()
    def start(self):
        self.loop = asyncio.new_event_loop()
        self.stack = AsyncExitStack()
        self.tasks = []
        self.is_reimaged = False
        coordinator_module.Ballot = GatedBallot
        self.patches = pytest.MonkeyPatch()
        for name, value in QUICK_RENEWAL.items():
            self.patches.setattr(renewal_module, name, value)
        self.patches.setattr(slowness_module, "PAUSE_FACTOR", 0.0)
        self.run(self.start_bench())

    def run(self, coroutine):
        """Run the event loop until a coroutine finishes."""
        limited = asyncio.wait_for(coroutine, STEP_LIMIT_S)
        return self.loop.run_until_complete(limited)

    async def start_bench(self):
        self.standins = await self.stack.enter_async_context(StandinGroup())
        self.bench = Bench(self.standins, self.overrides)
        await self.stack.enter_async_context(self.bench.stack)
        await self.bench.competing_terms.reserve(self.bench.store)
        for name in PROXIES:
            proxy = await self.bench.add_proxy(name, self.safeguards)
            proxy.group.gate = asyncio.Event()
            proxy.group.gate.set()
        self.writers = {
            name: Writer(self.bench, proxy, name)
            for name, proxy in self.bench.proxies.items()
        }
        await until(
            lambda: all(item.group.primary() for item in self.bench.proxies.values())
        )
        self.tasks = [asyncio.create_task(item.run()) for item in self.writers.values()]
        await asyncio.sleep(STEP_TIME_S)

    @rule(time_s=st.sampled_from([0.1, 0.3]))
    def let_time_pass(self, time_s):
        self.run(asyncio.sleep(time_s))

    @rule(name=st.sampled_from(UPSTREAMS))
    def kill(self, name):
        self.run(self.standins.kill(name))

    @rule()
    def kill_the_primary(self):
        primary = self.standins.primary()
        if primary is not None:
            self.run(self.standins.kill(primary.name))

    @rule(name=st.sampled_from(UPSTREAMS))
    def restart(self, name):
        if not self.standins[name].is_running:
            self.run(self.standins.restart(name))

    @rule(name=st.sampled_from(UPSTREAMS))
    def reimage(self, name):
        """Reimage one upstream per example; two would lose the log of a majority."""
        if not self.is_reimaged:
            self.is_reimaged = True
            self.run(self.bring_back_empty(name))

    async def bring_back_empty(self, name):
        await self.standins.kill(name)
        views = [item.group.upstreams[name] for item in self.bench.proxies.values()]
        await until(lambda: all(view.state == "lost" for view in views))
        await self.standins.reimage(name)

    @rule(name=st.sampled_from(UPSTREAMS))
    def freeze(self, name):
        self.standins.freeze(name)

    @rule()
    def freeze_the_primary(self):
        primary = self.standins.primary()
        if primary is not None:
            self.standins.freeze(primary.name)

    @rule()
    def thaw_all(self):
        for name in UPSTREAMS:
            self.standins.resume(name)

    @rule(
        one=st.sampled_from(UPSTREAMS),
        other=st.sampled_from((*UPSTREAMS, "proxies")),
        one_way=st.booleans(),
    )
    def cut(self, one, other, one_way):
        if one != other:
            self.standins.cut(one, other, one_way=one_way)

    @rule()
    def cut_the_primary_from_its_replicas(self):
        primary = self.standins.primary()
        for name in UPSTREAMS:
            if primary is not None and name != primary.name:
                self.standins.cut(primary.name, name)

    @rule()
    def heal(self):
        self.standins.heal()
        self.bench.network.cut.clear()

    @rule(name=st.sampled_from(PROXIES))
    def cut_from_peers(self, name):
        self.bench.network.isolate(name)

    @rule(
        name=st.sampled_from(UPSTREAMS), delay_s=st.sampled_from([0.0, SLOW_ANSWER_S])
    )
    def slow_down(self, name, delay_s):
        """Delay an upstream's replies, but not enough for it to count as lost."""
        self.standins.delay_answers(name, delay_s)

    @rule(lag_s=st.sampled_from([0.0, 0.02, 0.3]))
    def set_lag(self, lag_s):
        self.standins.set_lag(lag_s, receive_delay_s=lag_s)

    @rule(name=st.sampled_from(UPSTREAMS))
    def let_one_lag(self, name):
        """Give one upstream a long replication lag."""
        self.standins[name].options.receive_delay_s = LONG_LAG_S

    @rule(name=st.sampled_from(UPSTREAMS))
    def kill_the_others(self, name):
        for other in UPSTREAMS:
            if other != name:
                self.run(self.standins.kill(other))

    @rule(is_down=st.booleans())
    def stop_or_start_the_store(self, is_down):
        self.bench.store.is_down = is_down

    @rule(names=st.sets(st.sampled_from(PROXIES), min_size=1, max_size=2))
    def hold_ballots(self, names):
        """Start concurrent ballots although nothing has failed."""
        self.run(self.begin_ballots(names))

    @rule(names=st.sets(st.sampled_from(UPSTREAMS), min_size=1, max_size=2))
    def abandon_ballot(self, names):
        """Fence upstreams in a term whose ballot is abandoned."""
        running = [name for name in sorted(names) if self.standins[name].is_running]
        self.run(self.bench.abandon_ballot(*running))

    async def begin_ballots(self, names):
        for name in sorted(names):
            coordinator = self.bench.proxies[name].coordinator
            self.tasks.append(asyncio.create_task(coordinator.run_ballot("test", {})))
        await asyncio.sleep(0.02)

    @rule(name=st.sampled_from(PROXIES), to=st.sampled_from(UPSTREAMS))
    def switch_over(self, name, to):
        """Start a planned switchover, which may fail under other faults."""
        coordinator = self.bench.proxies[name].coordinator
        self.tasks.append(self.loop.create_task(coordinator.switch_over(to)))

    @rule(name=st.sampled_from(UPSTREAMS), leaving=st.booleans())
    def mark_leaving(self, name, leaving):
        for proxy in self.bench.proxies.values():
            proxy.group.mark_leaving(name, leaving)

    @rule(name=st.sampled_from(PROXIES))
    def pause_before_promotion(self, name):
        self.bench.proxies[name].group.gate.clear()

    @rule()
    def resume_all(self):
        for proxy in self.bench.proxies.values():
            proxy.group.gate.set()

    @rule(
        name=st.sampled_from(PROXIES),
        upstream_name=st.sampled_from(UPSTREAMS),
        takes_effect=st.booleans(),
    )
    def lose_next_answer(self, name, upstream_name, takes_effect):
        """Fail the next call of a coordinator, before or after it takes effect."""
        upstream = self.bench.proxies[name].group.upstreams[upstream_name]
        real = type(upstream).call

        async def lose(sql, timeout_s):
            del upstream.call
            if takes_effect:
                await real(upstream, sql, timeout_s)
            raise UpstreamLostError("the answer was lost")

        upstream.call = lose

    @rule(name=st.sampled_from(UPSTREAMS))
    def lose_commit_answer(self, name):
        self.standins.lose_commit_answers(name)

    @invariant()
    def no_task_has_failed(self):
        """Let the callers write, then raise the error of a failed task."""
        if hasattr(self, "loop"):
            self.run(asyncio.sleep(STEP_TIME_S))
            self.check_tasks()

    def check_tasks(self):
        """Raise the error of a failed task, if any."""
        for task in self.tasks:
            if task.done():
                task.result()

    @invariant()
    def no_term_was_started_twice(self):
        if hasattr(self, "bench"):
            self.bench.check_terms()

    def teardown(self):
        if not hasattr(self, "loop"):
            return
        try:
            self.run(self.finish())
        finally:
            coordinator_module.Ballot = Ballot
            self.patches.undo()
            self.run(self.end())
            self.loop.close()

    def has_progressed(self, seen):
        """Return whether each caller had another write acknowledged."""
        self.check_tasks()
        return all(
            len(self.writers[name].acknowledged) > count for name, count in seen.items()
        )

    async def end(self):
        """Stop everything that the example has started."""
        await self.end_tasks()
        await self.stack.aclose()

    async def end_tasks(self):
        """Stop the callers and ballots."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def find_replicas(self):
        """Return the names of the replicas that may serve reads of the first proxy."""
        group = self.bench.proxies[PROXIES[0]].group
        return [upstream.name for upstream in group.replicas()]

    async def finish(self):
        """End all faults, stop the callers and check the outcomes reported to them."""
        self.bench.store.is_down = False
        self.bench.network.cut.clear()
        self.resume_all()
        for upstream in self.standins.upstreams.values():
            upstream.faults.lost_commit_answers = 0
        for proxy in self.bench.proxies.values():
            for upstream in proxy.group.upstreams.values():
                upstream.__dict__.pop("call", None)
                proxy.group.mark_leaving(upstream.name, False)
        await self.bench.end_faults()
        seen = {name: len(item.acknowledged) for name, item in self.writers.items()}
        await until(lambda: self.has_progressed(seen))
        await self.end_tasks()
        await until(lambda: len(self.find_replicas()) == len(UPSTREAMS) - 1)
        await self.bench.abandon_ballot(self.find_replicas()[0])
        await self.bench.wait_until_converged()
        self.bench.check_terms()
        requests = self.bench.read_requests("up-1")
        for writer in self.writers.values():
            writer.check(requests)


def test_random_faults_violate_no_guarantee():
    run_state_machine_as_test(GroupMachine, settings=MACHINE_SETTINGS)
