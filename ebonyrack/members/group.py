"""One database group: its upstreams, its primary and the positions it has reached."""

from __future__ import annotations

from loguru import logger

from ebonyrack.core import metrics
from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.owner import Owner
from ebonyrack.core.position import LogPosition
from ebonyrack.core.signal import Signal
from ebonyrack.members.entry import MemberEntry
from ebonyrack.members.member import Member
from ebonyrack.placing.coverage import Coverage
from ebonyrack.placing.coverage import PositionSample
from ebonyrack.placing.leadership import Leadership
from ebonyrack.placing.primary_gap import EXPECTED_SEARCH_S
from ebonyrack.placing.primary_gap import GapEstimate
from ebonyrack.placing.primary_gap import decide_gap
from ebonyrack.placing.read_order import ReadCandidate
from ebonyrack.placing.read_order import order_candidates
from ebonyrack.placing.share import compute_kept
from ebonyrack.placing.suspicion import PrimaryView
from ebonyrack.placing.suspicion import Verdict
from ebonyrack.placing.suspicion import judge_primary
from ebonyrack.requests.codec import UpstreamCodec
from ebonyrack.routes.route import GroupLimits

# A connection that isn't kept is closed after this time unused, in seconds. Opening
# one takes an upstream's slot for some ten milliseconds, as long as a statement.
UNUSED_S = 2.0
# Questions to the upstreams find a new primary within this time, in seconds; the store
# knows more only if the upstreams that are known are not all.
FOUND_BY_QUESTIONS_S = 1.5


class Group(Owner):
    """A primary and its replicas.

    Attributes:
        limits: What the operators say of the group.
        data_centre: Data centre of this proxy.
        codec: Protocol of the upstreams.
        members: Upstreams by identity.
        leadership: Which of them is taken for the primary.
        coverage: Positions of the primary at known times.
        changed: Wakes those who wait for a primary.
        unknown_since_s: Time since which no primary is known, or None.
        verdict: What was found about the primary at the last look.
        lost_since_s: Time since which the verdict is that it is lost, or None.
        gaps: How long such times have lasted.
        connection_share: Connections to each upstream that this proxy may hold.
        queue_weights: Shares of the databases in the queues.
    """

    __slots__ = (
        "limits",
        "data_centre",
        "codec",
        "members",
        "leadership",
        "coverage",
        "changed",
        "unknown_since_s",
        "verdict",
        "lost_since_s",
        "gaps",
        "connection_share",
        "queue_weights",
    )

    def __init__(
        self, limits: GroupLimits, data_centre: str, codec: UpstreamCodec, share: int
    ) -> None:
        self.limits = limits
        self.data_centre = data_centre
        self.codec = codec
        self.members: dict[str, Member] = {}
        self.leadership = Leadership()
        self.coverage = Coverage()
        self.changed = Signal()
        self.unknown_since_s: float | None = boot_time_s()
        self.verdict = Verdict.SERVING
        self.lost_since_s: float | None = None
        self.gaps = GapEstimate()
        self.connection_share = share
        self.queue_weights: dict[str, int] = {}

    async def stop(self) -> None:
        """Close every connection."""
        for member in list(self.members.values()):
            await member.stop()

    @property
    def name(self) -> str:
        """Name of the group."""
        return self.limits.name

    @property
    def leader(self) -> Member | None:
        """The upstream that is taken for the primary, or None."""
        leader_id = self.leadership.leader
        return self.members.get(leader_id) if leader_id is not None else None

    def set_share(self, share: int) -> None:
        """Set how many connections to each upstream this proxy may hold."""
        self.connection_share = share
        for member in self.members.values():
            if member.pool.limit != share:
                member.pool.resize(share)

    def close_unused(self) -> None:
        """Close connections that are unused and not kept."""
        for member in self.members.values():
            is_near = member.entry.data_centre == self.data_centre
            kept = compute_kept(self.connection_share, is_near, member is self.leader)
            member.pool.trim_idle(kept, UNUSED_S)

    def set_weights(self, weights: dict[str, int]) -> None:
        """Set the shares of the databases in the queues."""
        self.queue_weights = weights
        for member in self.members.values():
            member.pool.set_weights(weights)

    async def apply_entry(self, entry: MemberEntry) -> None:
        """Take over what an upstream says of itself.

        Args:
            entry: The newest entry of the upstream.
        """
        member = self.members.get(entry.member_id)
        if member is not None and is_other_upstream(member.entry, entry):
            await self.remove(entry.member_id, "it started anew")
            member = None
        if member is None:
            member = Member(entry, self.codec, self.connection_share)
            member.pool.set_weights(self.queue_weights)
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
        member.missing_since_s = None
        with self.watching_leader("entry"):
            self.leadership.report(
                entry.member_id, entry.reports_primary, entry.revision
            )

    async def remove(self, member_id: str, reason: str) -> None:
        """Forget an upstream that is gone.

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
        with self.watching_leader(reason):
            self.leadership.forget(member_id)
        await member.stop()

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
        sent = leader.write_sent_s.values()
        return PrimaryView(
            is_known=True,
            silent_for_s=leader.liveness.measure_silence(),
            refused_for_s=leader.liveness.measure_refusal(),
            stalled_for_s=now - min(sent) if sent else 0.0,
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
    def lacks_upstreams(self) -> bool:
        """Whether upstreams that are not known yet may be what it needs."""
        if not self.members or self.measure_gap() > FOUND_BY_QUESTIONS_S:
            return True
        return any(each.missing_since_s is not None for each in self.members.values())

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
            await self.changed.wait(min(0.1, time_left_s))
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

    def order_reads(
        self, position: LogPosition | None, tried: set[str], caller: str
    ) -> list[str]:
        """Return the upstreams that may serve a read, the best first.

        Args:
            position: Position that it must see.
            caller: Name under which it waits in queues.
            tried: Upstreams that were tried for it already.
        """
        now = boot_time_s()
        candidates = [
            self.build_candidate(member, position, caller, now)
            for member in self.members.values()
            if member.member_id not in tried and takes_new_work(member)
        ]
        return order_candidates(candidates)

    def build_candidate(
        self, member: Member, position: LogPosition | None, caller: str, now: float
    ) -> ReadCandidate:
        """Return what placing a read needs to know of an upstream."""
        lacks = (
            position is not None
            and member.lacked is not None
            and member.lacked <= position
            and now < member.lacked_until_s
            and (member.position is None or member.position < position)
        )
        is_silent = (
            member.liveness.measure_silence() > SILENT_READ_S
            or member.liveness.refused_since_s is not None
        )
        return ReadCandidate(
            member_id=member.member_id,
            is_near=member.entry.data_centre == self.data_centre,
            leads=member is self.leader,
            is_avoided=lacks or is_silent or now < member.avoided_until_s,
            latency_s=member.latency_s,
            expected_wait_s=member.pool.expect_wait(caller),
        )


# A read prefers others to an upstream that was silent this long, in seconds; usual
# statements take a tenth of it.
SILENT_READ_S = 0.25


class LeaderChange:
    """Reports a change of the primary that happens inside the context.

    Attributes:
        group: The group.
        reason: What may change it, for the log.
        before: The primary at the start.
    """

    __slots__ = ("group", "reason", "before")

    def __init__(self, group: Group, reason: str) -> None:
        self.group = group
        self.reason = reason
        self.before: str | None = None

    def __enter__(self) -> None:
        self.before = self.group.leadership.leader

    def __exit__(self, *error: object) -> None:
        self.group.note_leader_changed(self.before, self.reason)


def is_other_upstream(known: MemberEntry, entry: MemberEntry) -> bool:
    """Return whether an entry is of an upstream that started anew."""
    return (known.born_ms, known.address) != (entry.born_ms, entry.address)


def takes_new_work(member: Member) -> bool:
    """Return whether an upstream wants new work, as far as is known.

    One whose entry is missing is used until it counts as gone: all entries lapse at
    once in an outage of the store.
    """
    return not member.entry.is_leaving
