"""No window holds more operations than allowed, whatever is lost, late or restarted."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

import pytest
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import rule

from ebonyrack.limits import account_stock
from ebonyrack.limits import grant_book
from ebonyrack.limits.grant_terms import LimitBounds
from ebonyrack.limits.grant_terms import choose_terms
from ebonyrack.limits.proxy_stock import ProxyStock
from ebonyrack.limits.shard import find_shard
from ebonyrack.limits.shard_hold import LEASE_TTL_S
from ebonyrack.limits.shard_hold import ShardHold
from ebonyrack.limits.shard_key import ShardOwner
from ebonyrack.limits.token_bucket import TokenBucket

BOUNDS = LimitBounds(window_s=5.0, overshoot=0.1, slack=20.0)
ACCOUNT = "siam"
SHARD = find_shard(ACCOUNT)
START_S = 1000.0
# The window and shorter spans, for which the same proof holds.
LENGTHS_S = (0.1, 1.0, BOUNDS.window_s)


@dataclass
class StoreModel:
    """The key of the shard and its mark, with leases and generations."""

    generation: int = 1
    revision: int = 1
    owner: tuple[bytes, int, int] | None = None
    mark: tuple[int, int] = (0, 1)
    leases: dict[int, float] = field(default_factory=dict)

    def copy(self):
        return replace(self, leases=dict(self.leases))

    def expire(self, now_s):
        self.leases = {n: end_s for n, end_s in self.leases.items() if end_s > now_s}
        if self.owner is not None and self.owner[2] not in self.leases:
            self.owner = None


class Proxy:
    """One process, with the decisions of the package and no input or output."""

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.name = f"proxy-{number}"
        self.start()

    def start(self):
        world = self.world
        world.starts += 1
        address = f"10.0.0.{self.number}:1"
        self.hold = ShardHold(self.name, address, world.now_s, BOUNDS)
        self.stock = ProxyStock(f"{self.name}/{world.starts}")
        self.generation, self.seen_s = 0, 0.0
        self.known = len(world.limits)
        self.questions = []
        self.learn()

    def learn(self):
        self.known = len(self.world.limits)
        limit = {ACCOUNT: self.world.limits[-1]}
        self.stock.set_limits(limit, self.known, self.world.now_s)
        for book in self.hold.books.values():
            book.set_version(limit, self.known, self.world.now_s)

    def read_store(self):
        """Make a call to the store; what it shows is known here."""
        store, now_s = self.world.store, self.world.now_s
        if self.generation != store.generation:
            self.generation, self.seen_s = store.generation, now_s
            self.hold.forget_keys()
        self.hold.mark = store.mark
        if store.owner is None:
            self.hold.record_absent(SHARD, now_s)
        else:
            value, revision, _ = store.owner
            self.record_key(value, revision)

    def record_key(self, value, revision):
        had_book = SHARD in self.hold.books
        self.hold.record_key(SHARD, value, revision, self.world.now_s)
        if not had_book:
            self.learn_as_owner()

    def learn_as_owner(self):
        limit = {ACCOUNT: self.world.limits[self.known - 1]}
        for book in self.hold.books.values():
            book.set_version(limit, self.known, self.world.now_s)

    def claim(self, is_answered):
        """Claim the shard if that is due, possibly without learning the outcome."""
        store, now_s = self.world.store, self.world.now_s
        self.read_store()
        if not self.hold.may_claim(now_s, self.generation, self.seen_s):
            return
        store.mark = (0, store.generation)
        names = [proxy.name for proxy in self.world.proxies]
        if SHARD not in self.hold.choose_claims(names, now_s):
            return
        if self.hold.lease is None or not self.hold.is_valid(now_s, self.generation):
            self.world.starts += 1
            store.leases[self.world.starts] = now_s + LEASE_TTL_S
            word = f"w{self.world.starts}"
            self.hold.start_lease(self.world.starts, self.generation, word, now_s)
        lease = self.hold.lease
        owner = ShardOwner(self.name, self.hold.address, lease.word)
        expected = self.hold.keys[SHARD].revision
        found = 0 if store.owner is None else store.owner[1]
        if found != expected or lease.number not in store.leases:
            return
        store.revision += 1
        store.owner = (owner.encode(), store.revision, lease.number)
        if is_answered:
            self.record_key(owner.encode(), store.revision)

    def renew(self, is_answered):
        store, lease = self.world.store, self.hold.lease
        if lease is None:
            return
        asked_s = self.world.now_s
        is_known = lease.number in store.leases
        if store.generation == lease.generation and is_known:
            store.leases[lease.number] = asked_s + LEASE_TTL_S
            if is_answered:
                self.hold.extend_lease(lease, asked_s)
        elif is_answered:
            self.hold.end_lease()

    def ask(self, needed):
        now_s = self.world.now_s
        question = self.stock.build_question(SHARD, {ACCOUNT: needed}, [ACCOUNT], now_s)
        self.questions.append([question, now_s, None])

    def answer(self, question):
        """Answer another proxy's question, if this one owns the shard."""
        now_s = self.world.now_s
        book = self.hold.find_book(SHARD, now_s, self.generation)
        return book.answer(question, now_s) if book is not None else None

    def run(self, count):
        """Run operations, each with a token."""
        now_s = self.world.now_s
        for _ in range(count):
            token = self.stock.accounts[ACCOUNT].take(now_s)
            if token is None:
                return
            self.world.runs.append(now_s)


class World:
    """A few proxies, the store and the time."""

    def __init__(self, limit=(20.0, 20.0)):
        self.now_s = START_S
        self.starts = 0
        self.limits = [limit]
        # Time since which every proxy knows the limit of the same index.
        self.known_since_s = [START_S]
        self.store = StoreModel()
        self.copied = None
        self.runs = []
        self.proxies = [Proxy(self, number) for number in range(3)]

    def advance(self, seconds, are_leases_paused=False):
        self.now_s += seconds
        if are_leases_paused:
            for number in self.store.leases:
                self.store.leases[number] += seconds
        self.store.expire(self.now_s)

    def restore(self):
        if self.copied is not None:
            generation = self.store.generation + 1
            self.store = self.copied.copy()
            self.store.generation = generation
            self.store.revision += 1000
            self.store.expire(self.now_s)

    def deliver(self, asker, index, owner, step):
        """Move a question on: to the owner, back, or to its end without a reply."""
        if index >= len(asker.questions):
            return
        entry = asker.questions[index]
        if step == "fail":
            asker.questions.remove(entry)
            asker.stock.record_failure(entry[0])
            return
        if entry[2] is None:
            entry[2] = owner.answer(entry[0])
        if step == "reply" and entry[2] is not None:
            asker.questions.remove(entry)
            asker.stock.apply_reply(entry[0], entry[2], entry[1], self.now_s)

    def exchange(self, asker, owner, needed):
        asker.ask(needed)
        self.deliver(asker, len(asker.questions) - 1, owner, "reply")

    def change_limit(self, limit):
        self.limits.append(limit)
        self.known_since_s.append(None)

    def learn(self, proxy):
        proxy.learn()
        for index, since_s in enumerate(self.known_since_s):
            everyone = all(other.known > index for other in self.proxies)
            if since_s is None and everyone:
                self.known_since_s[index] = self.now_s

    def compute_bound(self, start_s, length_s):
        """Return the operations that may run in a span that starts at a time."""
        in_force = max(
            index
            for index, since_s in enumerate(self.known_since_s)
            if since_s is not None and since_s <= start_s
        )
        terms = [choose_terms(*limit, BOUNDS) for limit in self.limits[in_force:]]
        return max(
            term.capacity + term.rate_per_s * (length_s + term.validity_s)
            for term in terms
        )

    def check(self):
        """Check every span that starts with an operation."""
        for length_s in LENGTHS_S:
            end = 0
            for start, start_s in enumerate(self.runs):
                end = max(start, end)
                while end < len(self.runs) and self.runs[end] < start_s + length_s:
                    end += 1
                assert end - start <= self.compute_bound(start_s, length_s)


PROXIES = st.integers(0, 3)
FLAGS = st.booleans()


class FleetMachine(RuleBasedStateMachine):
    """Any order of grants, losses, delays, restarts, outages and changes."""

    def __init__(self):
        super().__init__()
        self.world = World()
        start_owner(self.world, self.world.proxies[0])

    def get(self, number):
        return self.world.proxies[number % len(self.world.proxies)]

    @rule(seconds=st.sampled_from([0.3, 1.3, 5.0, 9.0]), paused=FLAGS)
    def advance(self, seconds, paused):
        self.world.advance(seconds, paused)

    @rule(number=PROXIES, is_answered=FLAGS, wait_s=st.sampled_from([0.0, 3.0]))
    def claim(self, number, is_answered, wait_s):
        self.get(number).read_store()
        self.world.advance(wait_s)
        self.get(number).claim(is_answered)

    @rule(number=PROXIES, is_answered=FLAGS)
    def renew(self, number, is_answered):
        self.get(number).renew(is_answered)

    @rule(number=PROXIES, needed=st.integers(1, 60))
    def ask(self, number, needed):
        self.get(number).ask(needed)

    @rule(
        asker=PROXIES,
        index=st.integers(0, 2),
        owner=PROXIES,
        step=st.sampled_from(["question", "reply", "reply", "fail"]),
    )
    def deliver(self, asker, index, owner, step):
        self.world.deliver(self.get(asker), index, self.get(owner), step)

    @rule(seconds=st.sampled_from([0.2, 0.6, 2.0, 5.0]))
    def spend(self, seconds):
        """Run all that any owner grants."""
        for _ in range(round(seconds / 0.2)):
            for owner in self.world.proxies:
                if SHARD in owner.hold.books:
                    self.world.exchange(self.get(0), owner, 60)
            self.get(0).run(60)
            self.world.advance(0.2)

    @rule(number=PROXIES, needed=st.integers(1, 60))
    def hoard(self, number, needed):
        """Get grants that are not used yet."""
        for owner in self.world.proxies:
            if SHARD in owner.hold.books:
                self.world.exchange(self.get(number), owner, needed)

    @rule(number=PROXIES, count=st.integers(1, 60))
    def run(self, number, count):
        self.get(number).run(count)

    @rule(number=PROXIES, is_everyone=FLAGS, is_claimed=FLAGS)
    def restart(self, number, is_everyone, is_claimed):
        for proxy in self.world.proxies if is_everyone else [self.get(number)]:
            proxy.start()
            if is_claimed:
                proxy.claim(True)

    @rule()
    def join(self):
        if len(self.world.proxies) < 4:
            self.world.proxies.append(Proxy(self.world, len(self.world.proxies)))

    @rule()
    def take_copy(self):
        self.world.copied = self.world.store.copy()

    @rule()
    def restore(self):
        self.world.restore()

    @rule(limit=st.sampled_from([(5.0, 5.0), (20.0, 20.0), (40.0, 10.0)]))
    def change_limit(self, limit):
        self.world.change_limit(limit)

    @rule(number=PROXIES)
    def learn(self, number):
        self.world.learn(self.get(number))

    def teardown(self):
        self.world.check()


FleetMachine.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=60,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
TestFleet = FleetMachine.TestCase


def spend_for(world, owner, seconds, askers):
    """Let proxies spend all that an owner grants for some seconds."""
    end_s = world.now_s + seconds
    while world.now_s < end_s:
        for asker in askers:
            world.exchange(asker, owner, 60)
            asker.run(60)
        world.advance(min(0.2, seconds))


def start_owner(world, proxy):
    world.store.mark = (0, world.store.generation)
    proxy.read_store()
    world.advance(3.0)
    proxy.claim(True)
    assert SHARD in proxy.hold.books


def play_restarts(world):
    """The owner is started again and again, and is asked at once each time."""
    owner, asker, _ = world.proxies
    start_owner(world, owner)
    for _ in range(12):
        spend_for(world, owner, 0.4, [asker])
        owner.start()
        owner.claim(True)


def play_lost_store(world):
    """The owner loses the store, and another one takes the shard meanwhile."""
    owner, other, asker = world.proxies
    start_owner(world, owner)
    other.read_store()
    world.advance(LEASE_TTL_S + 0.01)
    other.read_store()
    world.advance(3.0)
    other.claim(True)
    for _ in range(30):
        spend_for(world, owner, 0.2, [asker])
        spend_for(world, other, 0.2, [asker])


def play_new_leases(world):
    """The owner loses its lease again and again and takes the shard with a new one."""
    owner, asker, _ = world.proxies
    start_owner(world, owner)
    spend_for(world, owner, 2.0, [asker])
    for _ in range(4):
        owner.hold.end_lease()
        owner.claim(True)
        spend_for(world, owner, 0.2, [asker])


def play_hoarding(world):
    """Proxies ask for much, use nothing for a long time and then everything."""
    owner, asker, other = world.proxies
    start_owner(world, owner)
    for _ in range(60):
        owner.renew(True)
        world.exchange(asker, owner, 60)
        world.exchange(other, owner, 60)
        world.advance(0.5)
    asker.run(1000)
    other.run(1000)


def play_restoration(world):
    """The store comes back from a copy of before the owner took the shard."""
    owner, other, asker = world.proxies
    world.store.mark = (0, 1)
    world.copied = world.store.copy()
    start_owner(world, owner)
    world.restore()
    other.read_store()
    world.advance(3.0)
    other.claim(True)
    for _ in range(30):
        spend_for(world, owner, 0.2, [asker])
        spend_for(world, other, 0.2, [asker])


def play_returns(world):
    """Grants that two replies held are told back, while another proxy spends."""
    owner, asker, other = world.proxies
    start_owner(world, owner)
    world.advance(5.0)
    for _ in range(2):
        asker.ask(25)
        world.deliver(asker, len(asker.questions) - 1, owner, "question")
        world.advance(1.3)
    for _ in range(2):
        spend_for(world, owner, 0.01, [other])
        world.deliver(asker, 0, owner, "fail")
        asker.ask(0)
        world.deliver(asker, len(asker.questions) - 1, owner, "reply")
    spend_for(world, owner, 5.0, [other])


def play_lower_limit(world):
    """Proxies hold grants of a higher limit when all have learned the lower one."""
    owner, *askers = world.proxies
    start_owner(world, owner)
    world.advance(5.0)
    world.change_limit((1.0, 1.0))
    for asker in askers:
        world.exchange(asker, owner, 60)
    for proxy in world.proxies:
        world.learn(proxy)
    world.advance(0.1)
    for asker in askers:
        asker.run(60)
    spend_for(world, owner, 5.0, askers)


def start_full(monkeypatch):
    def build(terms, now_s, level):
        return TokenBucket(terms, now_s, level=terms.capacity)

    monkeypatch.setattr(grant_book, "TokenBucket", build)


def ignore_own_clock(monkeypatch):
    monkeypatch.setattr(
        ShardHold, "is_valid", lambda self, now_s, generation: self.lease is not None
    )


def ignore_validity(monkeypatch):
    monkeypatch.setattr(
        account_stock.AccountStock, "is_usable", lambda self, token, now_s: True
    )


def ignore_generation(monkeypatch):
    monkeypatch.setattr(ShardHold, "may_claim", lambda *arguments: True)


def return_everything(monkeypatch):
    def put_back(self, take_number, count, now_s):
        self.refill(now_s)
        self.level = min(self.terms.capacity, self.level + count)

    monkeypatch.setattr(TokenBucket, "put_back", put_back)


def keep_grants_of_higher_limits(monkeypatch):
    monkeypatch.setattr(
        account_stock.AccountStock,
        "is_usable",
        lambda self, token, now_s: now_s < token.expires_s,
    )


def forget_own_leases(monkeypatch):
    monkeypatch.setattr(
        ShardHold, "choose_start", lambda self, replaced, now_s: self.started_s
    )


SCENARIOS = [
    (play_restarts, start_full),
    (play_lost_store, ignore_own_clock),
    (play_hoarding, ignore_validity),
    (play_restoration, ignore_generation),
    (play_returns, return_everything),
    (play_new_leases, forget_own_leases),
    (play_lower_limit, keep_grants_of_higher_limits),
]


@pytest.mark.parametrize(("play", "disable"), SCENARIOS)
def test_each_safeguard_keeps_a_window_within_its_bound(play, disable, monkeypatch):
    world = World(limit=(40.0, 40.0) if play is play_lower_limit else (20.0, 20.0))
    play(world)
    world.check()
    assert world.runs
    disable(monkeypatch)
    world = World(limit=(40.0, 40.0) if play is play_lower_limit else (20.0, 20.0))
    play(world)
    with pytest.raises(AssertionError):
        world.check()
