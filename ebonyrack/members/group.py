"""One database group: its upstreams, primary and connection limits."""

from __future__ import annotations

import random

from loguru import logger

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.component import Component
from ebonyrack.members.commit_check import CommitCheck
from ebonyrack.members.entry import MemberEntry
from ebonyrack.members.leadership_check import LeadershipCheck
from ebonyrack.members.member import Member
from ebonyrack.members.primary_state import PrimaryState
from ebonyrack.members.replica_status import CHECK_CALLER
from ebonyrack.placing.connection_share import SCARCE_IDLE_LIMIT
from ebonyrack.placing.connection_share import STARTUP_SHORTAGE_S
from ebonyrack.placing.connection_share import ProxyCounts
from ebonyrack.placing.connection_share import compute_idle_limit
from ebonyrack.placing.connection_share import compute_limit
from ebonyrack.placing.connection_share import compute_probe_probability
from ebonyrack.placing.connection_share import compute_startup_share
from ebonyrack.placing.connection_share import is_scarce
from ebonyrack.placing.connection_share import keeps_scarce_connection
from ebonyrack.placing.connection_share import may_be_starting_together
from ebonyrack.placing.connection_share import may_others_be_starting
from ebonyrack.placing.homes import DIRECT_SHARE
from ebonyrack.placing.homes import HomePlan
from ebonyrack.placing.outlier import eject_outlier
from ebonyrack.placing.shedding import ReadDemand
from ebonyrack.requests.codec import UpstreamCodec
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply
from ebonyrack.routes.route import GroupLimits

# Idle connections above the limit are closed after this time, in seconds. Opening one
# occupies a slot of the upstream for some ten milliseconds, as long as a statement.
IDLE_TIMEOUT_S = 2.0
# Probes of the known upstreams find a new primary within this time, in seconds; after
# that, the store may list upstreams that aren't known yet.
PROBE_DISCOVERY_S = 1.5
# Upstreams that a proxy finds within this time of its start were there before.
INITIAL_DISCOVERY_S = 3.0
# Weight of leadership checks in the queues; many requests wait for one check.
CHECK_WEIGHT = 16


class Group(PrimaryState, Component):
    """A primary and its replicas.

    Attributes:
        limits: The operators' settings of the group.
        data_centre: Data centre of this proxy.
        codec: Protocol of the upstreams.
        started_s: Time since which the proxy serves the group, on the boot clock.
        is_limited_for_start: Whether the pools have the limit of a proxy that has just
            started.
        live_proxies: Number of proxies known to be alive, including this one.
        near_proxies: How many of them may be in this data centre.
        connection_share: Connections to each upstream that this proxy may hold.
        homes: The proxies that hold the connections to the upstreams; None if each
            proxy has connections of its own.
        is_home: Whether this proxy is one of them.
        queue_weights: Queue weight by database.
        has_accounts: Whether the operators' document has client accounts.
        demand: Recent reads of the group by class.
        leadership: Checks that the primary still leads; None where the platform ends
            the lead of a replaced primary.
        commit_check: Checks that a commit outlives a change of primary.
    """

    __slots__ = (
        "limits",
        "data_centre",
        "codec",
        "started_s",
        "is_limited_for_start",
        "live_proxies",
        "near_proxies",
        "connection_share",
        "homes",
        "is_home",
        "queue_weights",
        "has_accounts",
        "demand",
        "leadership",
        "commit_check",
    )

    def __init__(
        self,
        limits: GroupLimits,
        data_centre: str,
        codec: UpstreamCodec,
        live_proxies: int,
        is_promotion_fenced: bool,
        leaving_limit_s: float | None = None,
    ) -> None:
        self.limits = limits
        self.data_centre = data_centre
        self.codec = codec
        super().__init__(leaving_limit_s)
        self.started_s = boot_time_s()
        self.is_limited_for_start = True
        self.homes: HomePlan | None = None
        self.is_home = False
        self.has_accounts = False
        counts = ProxyCounts(live_proxies, live_proxies, live_proxies)
        self.update_connection_share(counts)
        self.queue_weights: dict[str, int] = {}
        self.demand = ReadDemand()
        self.leadership = None if is_promotion_fenced else LeadershipCheck(self)
        self.commit_check = CommitCheck(self)

    async def stop(self) -> None:
        """Close every connection."""
        if self.leadership is not None:
            await self.leadership.stop()
        await self.commit_check.stop()
        for member in list(self.members.values()):
            await member.stop()

    @property
    def name(self) -> str:
        """Name of the group."""
        return self.limits.name

    def needs_status_of(self, member: Member) -> bool:
        """Whether only an upstream's status tells if it may be the primary."""
        if self.leadership is None:
            return False
        return self.primary_tracker.confirmed != member.member_id

    def update_connection_share(self, counts: ProxyCounts) -> None:
        """Set how many connections to each upstream this proxy may hold.

        Args:
            counts: Numbers of live proxies.
        """
        if self.homes is None:
            share = compute_limit(
                self.limits.maximum_connections, counts, self.has_accounts
            )
        else:
            share = self.homes.connection_share if self.is_home else DIRECT_SHARE
        self.live_proxies = counts.live
        self.near_proxies = counts.near
        self.connection_share = share
        self.limit_pools()
        for member in self.members.values():
            member.pool.is_scarce = self.is_scarce
            if self.is_scarce and not self.keeps_idle_connections(member.entry, False):
                member.pool.keeps_idle_connections = False
                member.pool.close_idle()

    def limit_pools(self) -> None:
        """Apply this proxy's share to the connections to each upstream."""
        self.is_limited_for_start = self.is_starting
        for member in self.members.values():
            member.pool.allows_overflow = not self.is_starting
            if member.pool.limit != self.pool_limit:
                member.pool.resize(self.pool_limit)

    @property
    def is_starting(self) -> bool:
        """Whether other proxies that lost power with this one may not be back."""
        return may_others_be_starting(boot_time_s() - self.started_s)

    @property
    def pool_limit(self) -> int:
        """Connections to each upstream that this proxy may hold now."""
        if not self.is_starting or self.homes is not None or self.is_scarce:
            return self.connection_share
        startup_share = compute_startup_share(
            self.limits.maximum_connections, self.live_proxies
        )
        return min(self.connection_share, startup_share) or self.connection_share

    @property
    def hands_work_over(self) -> bool:
        """Whether other proxies hold the connections to the upstreams."""
        return self.homes is not None and not self.is_home

    @property
    def is_short_of_connections(self) -> bool:
        """Whether connections from before the proxy's start may use up the limit."""
        startup_share = compute_startup_share(
            self.limits.maximum_connections, self.live_proxies
        )
        age_s = boot_time_s() - self.started_s
        return may_be_starting_together(age_s) and startup_share == 0

    @property
    def is_scarce(self) -> bool:
        """Whether upstreams can't accept a connection from every proxy like this one.

        A home has connections of its own, however many proxies there are.
        """
        return not self.is_home and is_scarce(
            self.limits.maximum_connections, self.live_proxies
        )

    def draw_probe(self, probes_per_s: float, interval_s: float) -> bool:
        """Return whether this proxy sends one of the probes of all proxies.

        Args:
            probes_per_s: Probes of one upstream by all proxies together.
            interval_s: Time between two calls, in seconds.
        """
        probability = compute_probe_probability(
            probes_per_s, self.live_proxies, interval_s
        )
        return random.random() < probability

    def keeps_idle_connections(self, entry: MemberEntry, is_primary: bool) -> bool:
        """Return whether connections to an upstream stay open after use.

        Args:
            entry: The upstream.
            is_primary: Whether it is the primary.
        """
        if self.hands_work_over:
            return False
        if not self.is_scarce:
            return not (is_primary and self.is_short_of_connections)
        return (
            entry.data_centre == self.data_centre
            and boot_time_s() - self.started_s > STARTUP_SHORTAGE_S
            and keeps_scarce_connection(
                self.limits.maximum_connections, self.near_proxies
            )
        )

    def trim_idle_connections(self) -> None:
        """Close idle connections above the limit."""
        if self.is_limited_for_start and not self.is_starting:
            self.limit_pools()
        for member in self.members.values():
            is_primary = member is self.primary
            member.pool.keeps_idle_connections = self.keeps_idle_connections(
                member.entry, is_primary
            )
            if self.hands_work_over:
                member.pool.trim_idle(0, 0.0)
                continue
            if self.is_scarce:
                member.pool.trim_idle(SCARCE_IDLE_LIMIT, 0.0)
                continue
            is_near = member.entry.data_centre == self.data_centre
            idle_limit = compute_idle_limit(self.connection_share, is_near, is_primary)
            member.pool.trim_idle(idle_limit, IDLE_TIMEOUT_S)

    def set_weights(self, weights: dict[str, int]) -> None:
        """Set the queue weights of the databases."""
        self.queue_weights = {**weights, CHECK_CALLER: CHECK_WEIGHT}
        for member in self.members.values():
            member.pool.set_weights(self.queue_weights)

    @property
    def ejects_outliers(self) -> bool:
        """Whether upstreams that fail a part of their statements get fewer reads."""
        return self.has_accounts or self.is_scarce or self.homes is not None

    def record_outcome(self, member: Member, reply: Reply) -> None:
        """Count a served or failed statement; eject its upstream if it is an outlier.

        Args:
            member: The upstream.
            reply: Its reply; rejections of what it did not run don't count.
        """
        is_failed = reply.rejection is RejectionKind.FAILED
        if not self.ejects_outliers or not (is_failed or reply.rejection is None):
            return
        now = boot_time_s()
        member.failures.record(is_failed, now)
        others = [each.failures for each in self.members.values() if each is not member]
        if is_failed and eject_outlier(member.failures, others, now):
            logger.bind(
                group=self.name,
                upstream=member.member_id,
                ejected_s=member.failures.ejected_for_s,
            ).warning("upstream_ejected")

    async def apply_entry(
        self, entry: MemberEntry, unchanged_at_s: float | None = None
    ) -> None:
        """Apply the newest entry of an upstream.

        Args:
            entry: The entry.
            unchanged_at_s: Time, on the boot clock, at which the store did not have it
                yet; None if that isn't known.
        """
        member = self.members.get(entry.member_id)
        if member is not None and is_restarted(member.entry, entry):
            await self.remove(entry.member_id, "it restarted")
            member = None
        if member is None:
            member = Member(entry, self.codec, self.pool_limit)
            member.pool.allows_overflow = not self.is_starting
            if boot_time_s() - self.started_s > INITIAL_DISCOVERY_S:
                member.known_since_s = boot_time_s()
            member.pool.set_weights(self.queue_weights)
            member.pool.keeps_idle_connections = self.keeps_idle_connections(
                entry, entry.reports_primary
            )
            member.pool.is_scarce = self.is_scarce
            self.members[entry.member_id] = member
            logger.bind(
                group=self.name,
                upstream=entry.member_id,
                address=str(entry.address),
                data_centre=entry.data_centre,
                leads=entry.reports_primary,
                leaving=entry.is_leaving,
            ).info("upstream_joined")
        elif entry.is_leaving and not member.entry.is_leaving:
            logger.bind(group=self.name, upstream=entry.member_id).info(
                "upstream_leaving"
            )
        member.entry = entry
        member.entry_missing_since_s = None
        if entry.is_leaving and member.leaving_since_s is None:
            member.leaving_since_s = unchanged_at_s or boot_time_s()
        with self.track_primary_change("entry"):
            self.primary_tracker.report(
                entry.member_id, entry.reports_primary, entry.revision
            )

    async def remove(self, member_id: str, reason: str) -> None:
        """Remove an upstream that has left the group.

        Args:
            member_id: Its identity.
            reason: Why, for the log.
        """
        member = self.members.pop(member_id, None)
        if member is None:
            return
        logger.bind(group=self.name, upstream=member_id, reason=reason).info(
            "upstream_removed"
        )
        self.departures.record(boot_time_s())
        with self.track_primary_change(reason):
            self.primary_tracker.forget(member_id)
        await member.stop()

    @property
    def lacks_upstreams(self) -> bool:
        """Whether the group may have upstreams that are not known yet."""
        if not self.members or self.measure_known_outage() > PROBE_DISCOVERY_S:
            return True
        return any(
            each.entry_missing_since_s is not None for each in self.members.values()
        )


def is_restarted(known: MemberEntry, entry: MemberEntry) -> bool:
    """Return whether an entry is of an upstream that has restarted."""
    return (known.started_at_ms, known.address) != (entry.started_at_ms, entry.address)
