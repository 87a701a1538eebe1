"""Model of a database group behind the line protocol: terms, logs and promotions."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field

from ebonyrack.core.position import LogPosition

# Where promotions are not fenced, a replaced primary that can reach the new one still
# leads for this long.
REPLACED_PRIMARY_LEADS_S = 1.0
STEP_DOWN_CHECK_S = 0.02


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One commit.

    Attributes:
        position: Its position in the log.
        writes: Item and data of each write.
    """

    position: LogPosition
    writes: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class StatementRecord:
    """One statement that an upstream has run.

    Attributes:
        member_id: ID of the upstream.
        request_id: ID sent with it.
        text: The statement without its `AFTER` position.
        session: Number of the session.
        is_in_transaction: Whether a transaction was open.
        values: Session values at that time.
        signature: Signature in the reply.
        account: Name with which the connection was opened.
    """

    member_id: str
    request_id: str
    text: str
    session: int
    is_in_transaction: bool
    values: tuple[tuple[str, str], ...]
    signature: str
    account: str


@dataclass(slots=True)
class LineMember:
    """One upstream of the group.

    Attributes:
        member_id: ID of the upstream.
        is_primary: Whether it is the primary.
        term: Highest term that it knows.
        paused_below_term: Term below which replication is paused; 0 for no pause.
        log: Entries that it has received.
        applied_count: Number of log entries that reads see.
        apply_delay_s: Seconds from receiving an entry to applying it.
        is_replication_blocked: Whether it receives no entries.
        is_leaving: Whether it reports that it will shut down.
        started_at_ms: Time of its start, in milliseconds.
    """

    member_id: str
    is_primary: bool = False
    term: int = 1
    paused_below_term: int = 0
    log: list[LogEntry] = field(default_factory=list)
    applied_count: int = 0
    apply_delay_s: float = 0.0
    is_replication_blocked: bool = False
    is_leaving: bool = False
    started_at_ms: int = 1

    @property
    def received_position(self) -> LogPosition:
        """Position of the last entry that it has received."""
        return self.log[-1].position if self.log else LogPosition(self.term, 0)

    @property
    def applied_position(self) -> LogPosition:
        """Position of the last entry that its reads see."""
        if self.applied_count == 0:
            return LogPosition(1, 0)
        return self.log[self.applied_count - 1].position

    def read(self, item: str) -> str:
        """Return the applied data of an item."""
        for entry in reversed(self.log[: self.applied_count]):
            for written, data in reversed(entry.writes):
                if written == item:
                    return data
        return "none"


class LineGroup:
    """The upstreams of one group, with their logs and the statements that they ran.

    Attributes:
        name: Name of the group.
        members: Upstreams by member ID.
        acknowledging_replicas: Number of replicas that must receive a commit before it
            is acknowledged.
        records: Statements that were run.
        acknowledged: Entries whose commit was acknowledged.
        promotions: Member ID and term of each promotion.
        changed: Notified after each replication, for commits that wait.
        is_promotion_fenced: Whether a promotion ends the lead of the old primary.
        isolated: Upstreams that can't reach the others.
    """

    __slots__ = (
        "name",
        "members",
        "acknowledging_replicas",
        "records",
        "acknowledged",
        "promotions",
        "changed",
        "tasks",
        "is_promotion_fenced",
        "isolated",
    )

    def __init__(
        self,
        name: str,
        member_ids: list[str],
        acknowledging_replicas: int = 1,
        is_promotion_fenced: bool = True,
    ) -> None:
        self.name = name
        self.members = {member_id: LineMember(member_id) for member_id in member_ids}
        self.members[member_ids[0]].is_primary = True
        self.acknowledging_replicas = acknowledging_replicas
        self.records: list[StatementRecord] = []
        self.acknowledged: list[LogEntry] = []
        self.promotions: list[tuple[str, int]] = []
        self.changed = asyncio.Condition()
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_promotion_fenced = is_promotion_fenced
        self.isolated: set[str] = set()

    @property
    def primary(self) -> LineMember | None:
        """The primary with the highest term, or None."""
        primaries = [member for member in self.members.values() if member.is_primary]
        return max(primaries, key=lambda member: member.term) if primaries else None

    async def commit(
        self, member: LineMember, writes: tuple[tuple[str, str], ...]
    ) -> LogEntry | None:
        """Append a commit and wait until enough replicas have received it.

        Args:
            member: The primary that commits.
            writes: Item and data of each write.

        Returns:
            The entry, or None if the upstream is no longer primary in that term.
        """
        term = member.term
        offset = member.log[-1].position.offset + 1 if member.log else 1
        entry = LogEntry(LogPosition(term, offset), writes)
        member.log.append(entry)
        member.applied_count = len(member.log)
        self.replicate(member)
        async with self.changed:
            await self.changed.wait_for(
                lambda: (
                    not self.is_primary_in(member, term)
                    or self.is_replicated(member, entry)
                )
            )
        if not self.is_primary_in(member, term):
            return None
        self.acknowledged.append(entry)
        return entry

    def is_primary_in(self, member: LineMember, term: int) -> bool:
        """Return whether an upstream is primary in a term."""
        return member.is_primary and member.term == term

    def is_replicated(self, primary: LineMember, entry: LogEntry) -> bool:
        """Return whether enough replicas have received an entry."""
        receivers = [
            member
            for member in self.members.values()
            if member is not primary and entry in member.log
        ]
        return len(receivers) >= self.acknowledging_replicas

    def replicate(self, primary: LineMember) -> None:
        """Copy the primary's log to every replica that can receive it."""
        for member in self.members.values():
            is_paused = member.paused_below_term > primary.term
            if member is primary or member.is_replication_blocked or is_paused:
                continue
            if member.is_primary:
                continue
            if self.isolated & {primary.member_id, member.member_id}:
                continue
            if member.term > primary.term:
                continue
            member.term = primary.term
            if member.log == primary.log:
                continue
            kept = count_common_entries(member.log, primary.log)
            member.applied_count = min(member.applied_count, kept)
            member.log = list(primary.log)
            if member.apply_delay_s == 0:
                member.applied_count = len(member.log)
            else:
                self.start_task(self.apply_later(member, len(member.log)))
        self.start_task(self.notify_waiters())

    async def apply_later(self, member: LineMember, count: int) -> None:
        """Apply entries after the replica's delay."""
        await asyncio.sleep(member.apply_delay_s)
        member.applied_count = max(member.applied_count, min(count, len(member.log)))

    async def notify_waiters(self) -> None:
        """Wake waiting commits."""
        async with self.changed:
            self.changed.notify_all()

    def start_task(self, coroutine: object) -> None:
        """Run a coroutine in a background task."""
        task = asyncio.ensure_future(coroutine)  # type: ignore[call-overload]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def promote(self, member_id: str) -> None:
        """Make an upstream the primary of the next term, with its received log."""
        chosen = self.members[member_id]
        if chosen.is_primary and chosen is self.primary:
            return
        old = self.primary
        term = max(member.term for member in self.members.values()) + 1
        chosen.is_primary = True
        chosen.term = term
        chosen.paused_below_term = 0
        chosen.applied_count = len(chosen.log)
        self.promotions.append((member_id, term))
        for member in self.members.values():
            if member is chosen:
                continue
            if self.is_promotion_fenced:
                member.is_primary = False
            if member.paused_below_term > term:
                # A pause above the new term goes on.
                continue
            if self.is_promotion_fenced:
                member.paused_below_term = 0
                if not member.is_replication_blocked:
                    self.follow(member, chosen)
            elif member is old:
                self.start_task(self.step_down_later(member, chosen))
            elif member.member_id not in self.isolated:
                member.paused_below_term = 0
                self.follow(member, chosen)
        self.replicate(chosen)

    def follow(self, member: LineMember, primary: LineMember) -> None:
        """Make an upstream a replica of a primary; entries that it lacks are cut."""
        member.is_primary = False
        member.term = primary.term
        member.log = list(primary.log)
        member.applied_count = min(member.applied_count, len(member.log))

    async def step_down_later(self, old: LineMember, new: LineMember) -> None:
        """End the lead of a replaced primary once it has reached the new one."""
        while old.member_id in self.isolated:
            await asyncio.sleep(STEP_DOWN_CHECK_S)
        await asyncio.sleep(REPLACED_PRIMARY_LEADS_S)
        if old.is_primary and old.term < new.term:
            self.step_down(old, new.term)

    def step_down(self, member: LineMember, term: int) -> None:
        """Make a primary of a lower term a replica."""
        if not member.is_primary or member.term >= term:
            return
        member.is_primary = False
        primary = self.primary
        if primary is not None and member.member_id not in self.isolated:
            self.follow(member, primary)
        self.start_task(self.notify_waiters())

    def find_lost_entries(self) -> list[LogEntry]:
        """Return acknowledged entries that the current primary lacks."""
        primary = self.primary
        kept = primary.log if primary is not None else []
        return [entry for entry in self.acknowledged if entry not in kept]


def count_common_entries(log: list[LogEntry], other: list[LogEntry]) -> int:
    """Return the number of leading entries that two logs have in common."""
    if other[: len(log)] == log:
        return len(log)
    differing = (
        index
        for index, (entry, each) in enumerate(zip(log, other, strict=False))
        if entry != each
    )
    return next(differing, len(other))
