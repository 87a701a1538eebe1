"""What a proxy knows of a group's primary, and the wait for one."""

from __future__ import annotations

from loguru import logger

from ebonyrack.core import metrics
from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LogPosition
from ebonyrack.core.signal import Signal
from ebonyrack.members.member import Member
from ebonyrack.placing.coverage import Coverage
from ebonyrack.placing.coverage import PositionSample
from ebonyrack.placing.leadership import Leadership
from ebonyrack.placing.primary_gap import EXPECTED_SEARCH_S
from ebonyrack.placing.primary_gap import GapEstimate
from ebonyrack.placing.primary_gap import decide_gap
from ebonyrack.placing.suspicion import PrimaryView
from ebonyrack.placing.suspicion import Verdict
from ebonyrack.placing.suspicion import judge_primary

# Those who wait for a primary look again at the latest after this, in seconds.
WAIT_LOOK_S = 0.1


class PrimaryState:
    """Which upstream of a group leads, and whether it serves.

    Attributes:
        members: Upstreams by identity.
        leadership: Which of them is taken for the primary.
        coverage: Positions of the primary at known times.
        changed: Wakes those who wait for a primary.
        unknown_since_s: Time since which no primary is known, or None.
        verdict: What was found about the primary at the last look.
        lost_since_s: Time since which the verdict is that it is lost, or None.
        gaps: How long such times have lasted.
    """

    __slots__ = (
        "members",
        "leadership",
        "coverage",
        "changed",
        "unknown_since_s",
        "verdict",
        "lost_since_s",
        "gaps",
    )

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.leadership = Leadership()
        self.coverage = Coverage()
        self.changed = Signal()
        self.unknown_since_s: float | None = boot_time_s()
        self.verdict = Verdict.SERVING
        self.lost_since_s: float | None = None
        self.gaps = GapEstimate()

    @property
    def name(self) -> str:
        """Name of the group."""
        raise NotImplementedError

    @property
    def leader(self) -> Member | None:
        """The upstream that is taken for the primary, or None."""
        leader_id = self.leadership.leader
        return self.members.get(leader_id) if leader_id is not None else None

    def note_leads(
        self, member: Member, asked_at_s: float, position: LogPosition | None
    ) -> None:
        """Take an answer that only the primary gives.

        Args:
            member: The upstream.
            asked_at_s: Time of sending of the question, on the boot clock.
            position: Position that the answer named.
        """
        if position is None or member.member_id not in self.members:
            return
        member.note_position(position)
        before = self.leadership.confirmed
        with self.watching_leader("answer"):
            self.leadership.confirm(member.member_id, position.term)
        if before != self.leadership.confirmed:
            # The log of an earlier primary may have ended in commits that the change
            # took back; no upstream will ever hold those positions.
            self.coverage.clear()
        if self.leadership.confirmed == member.member_id:
            self.coverage.add(PositionSample(asked_at_s, position))

    def note_not_leading(self, member: Member) -> None:
        """Take a refusal that only a replica gives."""
        with self.watching_leader("refusal"):
            self.leadership.deny(member.member_id)

    def watching_leader(self, reason: str) -> LeaderChange:
        """Return a context that logs and reports a change of the primary."""
        return LeaderChange(self, reason)

    def note_leader_changed(self, before: str | None, reason: str) -> None:
        """Log a change of the primary and wake those who wait for one."""
        leader = self.leadership.leader
        if leader == before:
            return
        if leader is None:
            self.unknown_since_s = self.unknown_since_s or boot_time_s()
        else:
            self.unknown_since_s = None
            metrics.primary_changes.add(1, {"group": self.name})
        logger.bind(
            group=self.name,
            before=before,
            upstream=leader,
            term=self.leadership.confirmed_term,
            reason=reason,
        ).info("primary_changed")
        self.changed.notify()

    def view_primary(self) -> PrimaryView:
        """Return what is seen of the primary now."""
        leader = self.leader
        now = boot_time_s()
        if leader is None:
            unknown_since_s = self.unknown_since_s or now
            return PrimaryView(False, unknown_for_s=now - unknown_since_s)
        missing_since_s = leader.missing_since_s
        return PrimaryView(
            is_known=True,
            silent_for_s=leader.liveness.measure_silence(),
            silence_limit_s=leader.silence_limit_s,
            refused_for_s=leader.liveness.measure_refusal(),
            stalled_for_s=leader.measure_stall(),
            is_leaving=leader.entry.is_leaving,
            missing_for_s=now - missing_since_s if missing_since_s else 0.0,
        )

    def look_at_primary(self) -> Verdict:
        """Judge the primary again; log a change of the verdict."""
        view = self.view_primary()
        verdict = judge_primary(view)
        if verdict is not self.verdict:
            leader = self.leadership.leader
            logger.bind(
                group=self.name,
                upstream=leader,
                before=self.verdict,
                verdict=verdict,
                silent_for_s=round(view.silent_for_s, 3),
                silence_limit_s=round(view.silence_limit_s, 3),
                refused_for_s=round(view.refused_for_s, 3),
                stalled_for_s=round(view.stalled_for_s, 3),
            ).warning("primary_judged")
            self.verdict = verdict
            self.note_gap(verdict)
        return verdict

    def note_gap(self, verdict: Verdict) -> None:
        """Note the start or the end of a time without a primary that serves."""
        now = boot_time_s()
        is_lost = verdict not in (Verdict.SERVING, Verdict.LEAVING)
        if is_lost and self.lost_since_s is None:
            self.lost_since_s = now
        elif not is_lost and self.lost_since_s is not None:
            self.gaps.note_gap(now - self.lost_since_s)
            self.lost_since_s = None
            self.changed.notify()

    @property
    def serves_writes(self) -> bool:
        """Whether the primary is known and taken to be alive."""
        return self.leader is not None and self.verdict in (
            Verdict.SERVING,
            Verdict.LEAVING,
        )

    async def wait_for_leader(self, deadline_s: float) -> Member:
        """Return the primary; wait for one only if it can come in time.

        Args:
            deadline_s: Monotonic time at which the request gives up.

        Raises:
            RequestError: NO_PRIMARY, with the time after which to come back.
        """
        while not self.serves_writes:
            time_left_s = deadline_s - now_s()
            decision = decide_gap(self.measure_gap(), time_left_s, self.expect_gap())
            if not decision.waits:
                raise RequestError(
                    ErrorKind.NO_PRIMARY,
                    f"no primary for {self.measure_loss():.3f} s",
                    decision.retry_after_s,
                )
            await self.changed.wait(min(WAIT_LOOK_S, time_left_s))
        leader = self.leader
        assert leader is not None
        return leader

    def measure_gap(self) -> float:
        """Return for how long it has been known here that no primary serves."""
        since_s = self.lost_since_s or self.unknown_since_s
        return boot_time_s() - since_s if since_s is not None else 0.0

    def expect_gap(self) -> float:
        """Return how long the present gap should last, in seconds."""
        # A primary that has refused as a replica has a successor to be found.
        is_searching = self.leader is None and self.verdict is Verdict.SERVING
        return EXPECTED_SEARCH_S if is_searching else self.gaps.expected_s

    def measure_loss(self) -> float:
        """Return for how long the group has had no primary that serves."""
        view = self.view_primary()
        return max(
            view.unknown_for_s,
            view.silent_for_s,
            view.refused_for_s,
            view.stalled_for_s,
        )


class LeaderChange:
    """Reports a change of the primary that happens inside the context.

    Attributes:
        group: What is known of the group's primary.
        reason: What may change it, for the log.
        before: The primary at the start.
    """

    __slots__ = ("group", "reason", "before")

    def __init__(self, group: PrimaryState, reason: str) -> None:
        self.group = group
        self.reason = reason
        self.before: str | None = None

    def __enter__(self) -> None:
        self.before = self.group.leadership.leader

    def __exit__(self, *error: object) -> None:
        self.group.note_leader_changed(self.before, self.reason)
