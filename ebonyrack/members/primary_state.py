"""State of a group's primary as seen by one proxy, and waiting for a primary."""

from __future__ import annotations

from loguru import logger

from ebonyrack.core import metrics
from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.notifier import Notifier
from ebonyrack.core.position import LogPosition
from ebonyrack.members.leaving import measure_overtime
from ebonyrack.members.member import Member
from ebonyrack.placing.departures import Departures
from ebonyrack.placing.leadership import LeadershipVerdict
from ebonyrack.placing.position_history import PositionHistory
from ebonyrack.placing.position_history import PositionSample
from ebonyrack.placing.primary_health import PrimaryHealth
from ebonyrack.placing.primary_health import PrimaryObservation
from ebonyrack.placing.primary_health import assess_primary
from ebonyrack.placing.primary_outage import EXPECTED_DISCOVERY_S
from ebonyrack.placing.primary_outage import EXPECTED_PLANNED_CHANGE_S
from ebonyrack.placing.primary_outage import OutageEstimate
from ebonyrack.placing.primary_outage import decide_wait
from ebonyrack.placing.primary_tracker import PrimaryTracker
from ebonyrack.placing.sample_age import SHORTEST_SAMPLE_AGE_S
from ebonyrack.requests.reply import UpstreamStatus

# Longest time between two checks of a request that waits for a primary.
RECHECK_INTERVAL_S = 0.1


class PrimaryState:
    """Which upstream of a group is the primary, and whether it is healthy.

    Attributes:
        members: Upstreams by identity.
        primary_tracker: Determines the primary.
        position_history: Positions of the primary at known times.
        sample_age_s: Age in seconds at which the newest of them is renewed.
        changed: Wakes requests that wait for a primary.
        unknown_since_s: Time since which no primary is known, or None.
        health: Health state of the primary at the last assessment.
        lost_since_s: Time since which the primary counts as lost, or None.
        outage_estimate: Estimates the length of outages.
        newest_acknowledged: Newest position up to which this proxy has seen all commits
            acknowledged, or None.
        changing_since_s: Time since which another proxy is changing the primary, or
            None; known only where promotions are not fenced.
        leaving_limit_s: Seconds for which a leaving upstream may get work, or None.
        former_primary_id: The last primary that was known, or None.
        led_since_s: Time at which this proxy learned that the primary leads its term.
        departures: What upstreams that have left the group may hold.
    """

    __slots__ = (
        "members",
        "primary_tracker",
        "position_history",
        "sample_age_s",
        "changed",
        "unknown_since_s",
        "health",
        "lost_since_s",
        "outage_estimate",
        "newest_acknowledged",
        "changing_since_s",
        "leaving_limit_s",
        "former_primary_id",
        "led_since_s",
        "departures",
    )

    def __init__(self, leaving_limit_s: float | None) -> None:
        self.leaving_limit_s = leaving_limit_s
        self.members: dict[str, Member] = {}
        self.primary_tracker = PrimaryTracker()
        self.position_history = PositionHistory()
        self.sample_age_s = SHORTEST_SAMPLE_AGE_S
        self.changed = Notifier()
        self.unknown_since_s: float | None = boot_time_s()
        self.health = PrimaryHealth.SERVING
        self.lost_since_s: float | None = None
        self.outage_estimate = OutageEstimate()
        self.newest_acknowledged: LogPosition | None = None
        self.changing_since_s: float | None = None
        self.former_primary_id: str | None = None
        self.led_since_s = float("-inf")
        self.departures = Departures(boot_time_s())

    @property
    def name(self) -> str:
        """Name of the group."""
        raise NotImplementedError

    @property
    def primary(self) -> Member | None:
        """The upstream that is presumed to be the primary, or None."""
        primary_id = self.primary_tracker.primary_id
        return self.members.get(primary_id) if primary_id is not None else None

    def record_primary_reply(
        self, member: Member, sent_at_s: float, position: LogPosition | None
    ) -> None:
        """Record a reply that only a primary gives.

        Args:
            member: The upstream.
            sent_at_s: Send time of the request, on the boot clock.
            position: Position in the reply.
        """
        if position is None or member.member_id not in self.members:
            return
        member.record_position(position)
        before = self.primary_tracker.confirmed
        with self.track_primary_change("answer"):
            self.primary_tracker.confirm(member.member_id, position.term)
        if before != self.primary_tracker.confirmed:
            # The log of an earlier primary may have ended in commits that the change of
            # primary discarded; no upstream will ever reach those positions.
            self.position_history.clear()
        if self.primary_tracker.confirmed == member.member_id:
            self.departures.record_primary(member.member_id, sent_at_s)
            sample = PositionSample(sent_at_s, position)
            self.position_history.add(sample)
            self.departures.add_sample(sample)

    def record_acknowledged(self, position: LogPosition | None) -> None:
        """Record a position up to which all commits are acknowledged."""
        newest = self.newest_acknowledged
        if position is not None and (newest is None or position > newest):
            self.newest_acknowledged = position

    def record_status(self, member: Member, status: UpstreamStatus) -> None:
        """Record the role and the term that an upstream reports.

        Args:
            member: The upstream.
            status: Its status.
        """
        if member.member_id not in self.members:
            return
        before = self.primary_tracker.confirmed
        with self.track_primary_change("status"):
            if status.is_primary:
                self.record_claim(member, status.term)
            else:
                self.primary_tracker.deny(member.member_id)
                self.primary_tracker.supersede(status.term)
        if before != self.primary_tracker.confirmed:
            self.position_history.clear()
            self.changing_since_s = None

    def record_claim(self, member: Member, term: int) -> None:
        """Record that an upstream reports leading a term."""
        tracker = self.primary_tracker
        if tracker.confirmed not in (None, member.member_id):
            if term <= tracker.confirmed_term:
                # A replaced primary that knows the new term but hasn't stepped down.
                logger.bind(group=self.name, upstream=member.member_id, term=term).info(
                    "replaced_primary_claims_to_lead"
                )
                return
        tracker.confirm(member.member_id, term)

    def record_verdict(self, verdict: LeadershipVerdict) -> None:
        """Record what a leadership check found."""
        if verdict is LeadershipVerdict.CHANGING:
            self.changing_since_s = self.changing_since_s or boot_time_s()
        elif verdict is LeadershipVerdict.LEADS and self.changing_since_s is not None:
            self.changing_since_s = None
            self.changed.notify()

    def record_not_primary(self, member: Member) -> None:
        """Record a rejection that only a replica gives."""
        with self.track_primary_change("refusal"):
            self.primary_tracker.deny(member.member_id)

    def track_primary_change(self, reason: str) -> PrimaryChange:
        """Return a context manager that reports a change of the primary."""
        return PrimaryChange(self, reason)

    def report_primary_change(self, before: str | None, reason: str) -> None:
        """Log a change of the primary and wake requests that wait for one."""
        primary = self.primary_tracker.primary_id
        if primary == before:
            return
        if primary is None:
            self.unknown_since_s = self.unknown_since_s or boot_time_s()
            self.former_primary_id = before
        else:
            self.unknown_since_s = None
            if primary != self.former_primary_id:
                self.led_since_s = boot_time_s()
            metrics.primary_changes.add(1, {"group": self.name})
        logger.bind(
            group=self.name,
            before=before,
            upstream=primary,
            term=self.primary_tracker.confirmed_term,
            reason=reason,
        ).info("primary_changed")
        self.changed.notify()

    def observe_primary(self) -> PrimaryObservation:
        """Return the current observations of the primary."""
        primary = self.primary
        now = boot_time_s()
        if primary is None:
            unknown_since_s = self.unknown_since_s or now
            return PrimaryObservation(False, unknown_for_s=now - unknown_since_s)
        entry_missing_since_s = primary.entry_missing_since_s
        return PrimaryObservation(
            is_known=True,
            silent_for_s=primary.liveness.measure_silence(),
            silence_limit_s=primary.silence_limit_s,
            refused_for_s=primary.liveness.measure_refusal(),
            stalled_for_s=max(primary.measure_stall(), self.measure_change()),
            is_leaving=primary.entry.is_leaving,
            missing_for_s=now - entry_missing_since_s if entry_missing_since_s else 0.0,
        )

    def update_health(self) -> PrimaryHealth:
        """Assess the primary again and log a change of its health state."""
        observation = self.observe_primary()
        health = assess_primary(observation)
        if health is not self.health:
            primary = self.primary_tracker.primary_id
            logger.bind(
                group=self.name,
                upstream=primary,
                before=self.health,
                verdict=health,
                silent_for_s=round(observation.silent_for_s, 3),
                silence_limit_s=round(observation.silence_limit_s, 3),
                refused_for_s=round(observation.refused_for_s, 3),
                stalled_for_s=round(observation.stalled_for_s, 3),
            ).warning("primary_judged")
            self.health = health
            self.record_outage(health)
        return health

    def record_outage(self, health: PrimaryHealth) -> None:
        """Record the start or the end of an outage of the primary."""
        now = boot_time_s()
        is_lost = health.is_lost
        if is_lost and self.lost_since_s is None:
            self.lost_since_s = self.unknown_since_s or now
        elif not is_lost and self.lost_since_s is not None:
            self.outage_estimate.record_outage(now - self.lost_since_s)
            self.lost_since_s = None
            self.changed.notify()

    @property
    def serves_writes(self) -> bool:
        """Whether the primary is known and presumed to be alive."""
        return (
            self.primary is not None
            and self.changing_since_s is None
            and self.measure_overtime() == 0.0
            and not self.health.is_lost
        )

    def measure_change(self) -> float:
        """Return the seconds for which another proxy is changing the primary."""
        since_s = self.changing_since_s
        return boot_time_s() - since_s if since_s is not None else 0.0

    def measure_overtime(self) -> float:
        """Return the seconds for which a leaving primary may get no work any more."""
        primary = self.primary
        if primary is None:
            return 0.0
        return measure_overtime(primary, self.leaving_limit_s)

    async def wait_for_primary(self, deadline_s: float) -> Member:
        """Return the primary, waiting for one only if it is expected in time.

        Args:
            deadline_s: Monotonic time of the request's deadline.

        Raises:
            RequestError: NO_PRIMARY, with a retry-after.
        """
        while not self.serves_writes:
            remaining_s = deadline_s - now_s()
            decision = decide_wait(
                self.measure_known_outage(), remaining_s, self.estimate_outage()
            )
            # A change that has not succeeded in all that time isn't worth waiting for.
            if not decision.waits or self.measure_overtime() > 0.0:
                raise RequestError(
                    ErrorKind.NO_PRIMARY,
                    f"no primary for {self.measure_outage():.3f} s",
                    decision.retry_after_s,
                )
            await self.changed.wait(min(RECHECK_INTERVAL_S, remaining_s))
        primary = self.primary
        assert primary is not None
        return primary

    def measure_known_outage(self) -> float:
        """Return the seconds since this proxy detected the outage, 0 without one."""
        since_s = self.lost_since_s or self.unknown_since_s or self.changing_since_s
        if since_s is None:
            return self.measure_overtime()
        return boot_time_s() - since_s

    def estimate_outage(self) -> float:
        """Return the expected total length of the current outage, in seconds."""
        # A primary that rejected a request as a replica already has a successor.
        is_searching = self.primary is None and self.health is PrimaryHealth.SERVING
        if not is_searching:
            return self.outage_estimate.expected_s
        former = self.members.get(self.former_primary_id or "")
        is_planned = former is not None and former.entry.is_leaving
        return EXPECTED_PLANNED_CHANGE_S if is_planned else EXPECTED_DISCOVERY_S

    def measure_outage(self) -> float:
        """Return the seconds without a serving primary, including before detection."""
        observation = self.observe_primary()
        return max(
            observation.unknown_for_s,
            observation.silent_for_s,
            observation.refused_for_s,
            observation.stalled_for_s,
            self.measure_overtime(),
        )


class PrimaryChange:
    """Reports a change of the primary that happens inside the context.

    Attributes:
        group: State of the group's primary.
        reason: What may change it, for the log.
        before: Identity of the primary at the start, or None.
    """

    __slots__ = ("group", "reason", "before")

    def __init__(self, group: PrimaryState, reason: str) -> None:
        self.group = group
        self.reason = reason
        self.before: str | None = None

    def __enter__(self) -> None:
        self.before = self.group.primary_tracker.primary_id

    def __exit__(self, *error: object) -> None:
        self.group.report_primary_change(self.before, self.reason)
