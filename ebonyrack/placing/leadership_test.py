"""Reads beside promotions that are not fenced: steps in any order, links cut."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from ebonyrack.core.position import LogPosition
from ebonyrack.placing.leadership import LeadershipVerdict
from ebonyrack.placing.leadership import judge_replica_status
from ebonyrack.requests.reply import UpstreamStatus

# Groups have four upstreams while one of them is being replaced.
NAMES = ("a", "b", "c", "d")
UPSTREAMS = st.sampled_from(NAMES)


class Upstream:
    """An upstream: who it is, its term, pause and commits."""

    def __init__(self, name):
        self.name = name
        self.leads = name == "a"
        self.term = 1
        self.paused_term = 0
        self.commits = frozenset()

    def report(self):
        return UpstreamStatus(
            self.leads, self.term, LogPosition(1, 0), self.paused_term, 0.0, 0, 0
        )


class LeadershipMachine(RuleBasedStateMachine):
    """One holder of the promotion lease, one proxy that reads, and four upstreams."""

    def __init__(self):
        super().__init__()
        self.upstreams = {name: Upstream(name) for name in NAMES}
        self.cut = set()
        self.acknowledged = frozenset()
        self.next_commit = 0
        self.ordered = None
        # Replicas that the present holder has paused and no other before.
        self.own_pauses = set()
        # What the proxy believes, and the read that waits: the upstream to read, its
        # term, and the commits that were acknowledged when the read came.
        self.believed = ("a", 1)
        self.read = None
        self.stale = []

    def reach(self, one, other):
        return not self.cut & {one, other}

    @property
    def newest(self):
        return max(
            (each for each in self.upstreams.values() if each.leads),
            key=lambda each: each.term,
        )

    @rule(name=UPSTREAMS)
    def cut_off(self, name):
        """Cut an upstream off from the others; proxies and the holder reach it."""
        self.cut.add(name)

    @rule(name=UPSTREAMS)
    def reconnect(self, name):
        self.cut.discard(name)

    @rule(leader=UPSTREAMS, replica=UPSTREAMS)
    def commit(self, leader, replica):
        """Commit at any upstream that thinks it leads, if a replica receives it."""
        one, other = self.upstreams[leader], self.upstreams[replica]
        if one is other or not one.leads or not self.reach(leader, replica):
            return
        if other.term > one.term or other.paused_term > one.term or other.leads:
            return
        one.commits |= {self.next_commit}
        other.term, other.commits = one.term, one.commits
        self.acknowledged |= {self.next_commit}
        self.next_commit += 1

    @precondition(lambda self: self.ordered is None)
    @rule(name=UPSTREAMS)
    def pause(self, name):
        upstream = self.upstreams[name]
        if not upstream.leads:
            if not upstream.paused_term:
                self.own_pauses.add(name)
            upstream.paused_term = self.newest.term + 1

    @precondition(lambda self: self.ordered is None)
    @rule()
    def pause_all_and_order(self):
        for name in NAMES:
            self.pause(name)
        self.order()

    @precondition(lambda self: self.ordered is None)
    @rule()
    def resume(self):
        """Give up before an order; an earlier holder's order may have been sent."""
        for name in self.own_pauses:
            self.upstreams[name].paused_term = 0
        self.own_pauses.clear()

    @precondition(lambda self: self.ordered is None)
    @rule()
    def order(self):
        """Order the most complete replica, if each is paused in the newest term."""
        replicas = [each for each in self.upstreams.values() if each is not self.newest]
        if any(each.leads for each in replicas):
            return
        if all(each.paused_term > self.newest.term for each in replicas):
            self.ordered = max(replicas, key=lambda each: len(each.commits)).name
            self.own_pauses.clear()

    @precondition(lambda self: self.ordered is not None)
    @rule()
    def carry_out(self):
        """Promote; the old primary leads on, a replica that is cut off stays paused."""
        chosen = self.upstreams[self.ordered]
        self.ordered = None
        chosen.term = self.newest.term + 1
        chosen.leads, chosen.paused_term = True, 0
        for each in self.upstreams.values():
            if not each.leads and self.reach(chosen.name, each.name):
                each.term, each.paused_term = chosen.term, 0
                each.commits = chosen.commits

    @rule(name=UPSTREAMS)
    def step_down(self, name):
        """Make a replaced primary a replica of the new one, once it reaches that."""
        upstream, newest = self.upstreams[name], self.newest
        if upstream.leads and upstream is not newest and self.reach(name, newest.name):
            upstream.leads, upstream.term = False, newest.term
            upstream.commits = newest.commits

    @rule(name=UPSTREAMS)
    def learn(self, name):
        """Let the proxy learn from a status which upstream leads."""
        upstream = self.upstreams[name]
        if upstream.leads and upstream.term > self.believed[1]:
            self.believed = (name, upstream.term)

    @rule()
    def start_read(self):
        self.read = (*self.believed, self.acknowledged)

    @precondition(lambda self: self.read is not None)
    @rule(name=UPSTREAMS)
    def answer_read(self, name):
        """Ask an upstream for its status and answer the read if it shows the leader."""
        primary, term, required = self.read
        if name == primary:
            return
        status = self.upstreams[name].report()
        if judge_replica_status(status, term) is LeadershipVerdict.LEADS:
            self.read = None
            if not required <= self.upstreams[primary].commits:
                self.stale.append((primary, name, required))

    @rule(name=UPSTREAMS)
    def read_at_once(self, name):
        self.start_read()
        self.answer_read(name)

    @invariant()
    def no_read_is_stale(self):
        assert self.stale == []

    @invariant()
    def no_commit_is_lost(self):
        assert self.acknowledged <= self.newest.commits


TestLeadership = LeadershipMachine.TestCase
TestLeadership.settings = settings(max_examples=400, stateful_step_count=60)


def test_replica_of_an_earlier_term_shows_nothing():
    upstream = Upstream("b")
    assert judge_replica_status(upstream.report(), 2) is LeadershipVerdict.INCONCLUSIVE


def test_another_primary_shows_nothing_in_the_same_term():
    upstream = Upstream("a")
    assert judge_replica_status(upstream.report(), 1) is LeadershipVerdict.INCONCLUSIVE


def test_paused_replica_shows_a_change():
    upstream = Upstream("b")
    upstream.paused_term = 2
    assert judge_replica_status(upstream.report(), 1) is LeadershipVerdict.CHANGING
