"""Model of a group, of the orders to the platform and of what was acknowledged."""

import asyncio

from ebonyrack.core.position import LogPosition
from ebonyrack.requests.reply import UpstreamStatus

FIRST = ("a", "b", "c")
JOINING = ("d", "e")
FREEZE_S = 5.0
RETURN_S = 0.5


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes at once."""

    def __init__(self):
        super().__init__()
        self.passed_s = 1000.0

    def time(self):
        return self.passed_s

    def _run_once(self):
        timers = [each.when() for each in self._scheduled if not each.cancelled()]
        if not self._ready and timers:
            self.passed_s = max(self.passed_s, min(timers))
        super()._run_once()


class Upstream:
    """An upstream: its role, term, pause and log of (term, offset, commit)."""

    def __init__(self, name):
        self.name = name
        self.leads = name == "a"
        self.term = 1
        self.paused_term = 0
        self.log = [LogPosition(1, 1)]
        self.start = 1
        self.is_dark = False
        self.is_leaving = False
        self.is_registered = True
        self.is_read_late = False

    def report(self):
        return UpstreamStatus(
            self.leads, self.term, self.log[-1], self.paused_term, 0.0, 0, 0
        )


class Model:
    """The group, the orders, and what was acknowledged."""

    def __init__(self, events, registers_at_once=False, history=(), is_sampled=False):
        self.registers_at_once = registers_at_once
        # What happens before the change, and whether the proxy has seen the primary.
        self.history = list(history)
        self.is_sampled = is_sampled
        self.events = list(events)
        self.upstreams = {name: Upstream(name) for name in FIRST}
        self.acknowledged = {LogPosition(1, 1)}
        self.orders = []
        self.promoted = []
        self.lost = []
        self.is_crashed = False
        self.observer = None
        # After so many requests or records the holder stands still past its lease.
        self.requests_until_freeze = None
        self.late_orders = []
        # Probes that the upstreams are too busy to run.
        self.busy_probes = 0
        # Upstream of an order without a response that may still be carried out.
        self.open_order = None

    def count_request(self):
        """Let the holder stand still when it has made so many requests."""
        if not self.requests_until_freeze:
            return
        self.requests_until_freeze -= 1
        if self.requests_until_freeze == 0:
            asyncio.get_running_loop().passed_s += FREEZE_S
            self.let_next_holder_act()

    def let_next_holder_act(self):
        """Let the next holder pause all replicas and order one that holds all."""
        replicas = [each for each in self.upstreams.values() if not each.leads]
        term = max(each.term for each in self.upstreams.values()) + 1
        for each in replicas:
            each.paused_term = term
        best = max(replicas, key=lambda each: (each.log[-1], each.name))
        asyncio.get_running_loop().call_later(0.3, self.promote_next, best.name)

    def promote_next(self, name):
        """Carry out the order of the next holder."""
        self.orders.insert(0, name)
        self.carry_out("")

    def step(self):
        """Let the next drawn events happen."""
        for kind, name in self.events.pop(0) if self.events else ():
            getattr(self, kind)(name)

    def receive(self, name):
        """Send the leader's log to a replica; return whether it counts."""
        leader, replica = self.leader, self.upstreams.get(name)
        if leader is None or replica is None or replica.leads:
            return None
        if leader.name == "a" and self.is_crashed:
            return None
        if replica.paused_term > leader.term or replica.term > leader.term:
            return None
        replica.term, replica.log = leader.term, list(leader.log)
        return leader

    @property
    def leader(self):
        leaders = [each for each in self.upstreams.values() if each.leads]
        return max(leaders, key=lambda each: each.term, default=None)

    def log(self, name):
        """Log a commit at the primary that no replica has received yet."""
        if self.leader is not None:
            offset = self.leader.log[-1].offset + 1
            self.leader.log.append(LogPosition(self.leader.term, offset))

    def commit(self, name):
        """Acknowledge a commit that a replica has received."""
        if name in self.upstreams and not self.upstreams[name].leads:
            self.log(name)
            self.catch_up(name)

    def record_acknowledged(self, positions):
        """Record positions whose commits a proxy has acknowledged to callers."""
        self.acknowledged |= positions
        for name in self.promoted:
            lost = positions - set(self.upstreams[name].log)
            if lost:
                self.lost.append((name, lost))

    def catch_up(self, name):
        leader = self.receive(name)
        if leader is None:
            return
        if self.observer is None:
            self.acknowledged |= set(leader.log)
        else:
            self.observer.acknowledge(leader)

    def join(self, name):
        if name in JOINING and name not in self.upstreams:
            self.upstreams[name] = Upstream(name)
            self.upstreams[name].is_registered = self.registers_at_once

    def register(self, name):
        if name in self.upstreams:
            self.upstreams[name].is_registered = True

    def leave(self, name):
        if name != "a" and len(self.upstreams) > 2 and name in self.upstreams:
            if not self.upstreams[name].leads:
                del self.upstreams[name]

    def restart(self, name):
        if name in self.upstreams and not self.upstreams[name].leads and name != "a":
            self.upstreams[name].paused_term = 0
            self.upstreams[name].start += 1

    def dark(self, name):
        if name != "a" and name in self.upstreams:
            self.upstreams[name].is_dark = True

    def back(self, name):
        if name in self.upstreams:
            self.upstreams[name].is_dark = False

    def step_down(self, name):
        """Let an earlier holder of the lease make the primary a replica."""
        self.upstreams["a"].leads = False

    def pause(self, name):
        """Let an earlier holder of the lease pause a replica, and end."""
        self.upstreams[name].paused_term = self.upstreams[name].term + 1

    def pause_far(self, name):
        """The same by one that counted with later terms."""
        self.upstreams[name].paused_term = self.upstreams[name].term + 3

    def promote_hidden(self, name):
        """Let an earlier holder promote an upstream that goes dark with its replica."""
        self.join("d")
        self.pause("b")
        for each in (self.upstreams[name], self.upstreams["d"]):
            each.term, each.is_dark = 2, True
            each.log = [LogPosition(1, 1), LogPosition(2, 2)]
        self.acknowledged.add(LogPosition(2, 2))

    def leave_for_good(self, name):
        """Let a primary be lost for good, and its entry be removed."""
        del self.upstreams[name]

    def lead_on(self, name):
        """Let a replaced primary that hasn't heard of its successor go on."""
        self.upstreams[name].leads, self.upstreams[name].term = True, 1
        self.upstreams[name].log = [LogPosition(1, 1), LogPosition(1, 2)]

    def skip_reading(self, name):
        """Let the proxy read the entry of an upstream only when its change begins."""
        self.upstreams[name].is_read_late = True

    def lead_next_term(self, name):
        """Let an upstream that has joined lead the next term, with all others."""
        self.join(name)
        for each in self.upstreams.values():
            each.leads = each.name == name
            each.term = 2
            each.log = [LogPosition(1, 1), LogPosition(2, 2)]
        self.acknowledged.add(LogPosition(2, 2))

    def sample(self, name):
        """The proxy learns the position of the primary."""

    def lose_primary(self):
        """Let the primary crash or be cut off."""
        self.upstreams["a"].is_dark = self.is_crashed = True
        self.observer.lose_primary()

    def lose(self, name):
        """Let the primary go dark before the change begins."""
        self.upstreams[name].is_dark = self.is_crashed = True

    def return_primary(self, name):
        """Let a lost primary come back, or reach its replicas and callers again."""
        self.is_crashed = False
        self.upstreams["a"].is_dark = False

    def return_primary_soon(self, name):
        """The same, some time after the replicas have been paused."""
        asyncio.get_running_loop().call_later(RETURN_S, self.return_primary, name)

    def carry_out(self, name):
        """Promote the upstream of an order that was accepted or left unanswered."""
        if not self.orders:
            return
        chosen = self.upstreams.get(self.orders.pop(0))
        if chosen is None or chosen is self.leader:
            return
        self.promoted.append(chosen.name)
        lost = self.acknowledged - set(chosen.log)
        if lost:
            self.lost.append((chosen.name, lost))
        term = max(each.term for each in self.upstreams.values()) + 1
        for each in self.upstreams.values():
            each.leads = False
        # Pauses above the new term go on for all others.
        chosen.leads, chosen.term, chosen.paused_term = True, term, 0
