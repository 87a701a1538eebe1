"""Overlapped reads: sent to a replica while their read index is determined."""

from __future__ import annotations

from types import TracebackType
from typing import TYPE_CHECKING
from typing import Self

from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import RequestError
from ebonyrack.core.logs import log_decision
from ebonyrack.core.position import LogPosition
from ebonyrack.routing.read_index import DatedIndex
from ebonyrack.routing.read_placement import MAJORITY_OF_PRIMARY_AND_REPLICA
from ebonyrack.routing.read_placement import log_placement
from ebonyrack.routing.read_round import PollRound
from ebonyrack.routing.read_search import ReadPlacement
from ebonyrack.routing.read_search import ReadRequirement
from ebonyrack.routing.read_search import Search
from ebonyrack.routing.read_search import choose_replica
from ebonyrack.upstreams.status import Role

if TYPE_CHECKING:
    from ebonyrack.routing.read_index import ReadIndex
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.pool import ConnectionPool
    from ebonyrack.upstreams.status import UpstreamStatus
    from ebonyrack.upstreams.upstream import Upstream

# For this long after an overlapped read was dropped, reads wait for their index.
OVERLAP_PAUSE_S = 1.0


class Overlap:
    """A read in flight to a replica and the round of polls for its read index.

    The replica is polled on the connection of the read, right before the read, so the
    read sees at least what the poll reports. That poll also counts towards the
    majority.

    Attributes:
        search: Search that the read would otherwise have started.
        replica: The replica.
        poll_sent_at_s: Monotonic time before any poll was sent.
        poll_round: Polls of the other upstreams, or None before `start`.
    """

    __slots__ = ("search", "replica", "poll_sent_at_s", "poll_round")

    def __init__(self, search: Search, replica: Upstream) -> None:
        self.search = search
        self.replica = replica
        self.poll_sent_at_s = search.started_s
        self.poll_round: PollRound | None = None

    def __enter__(self) -> Self:
        self.search.read_index.has_overlapped_read = True
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.search.read_index.has_overlapped_read = False

    def start(self) -> None:
        """Poll the other upstreams; the caller polls the replica afterwards."""
        group = self.search.group
        others = [
            upstream
            for upstream in group.upstreams.values()
            if upstream.name != self.replica.name
        ]
        self.poll_sent_at_s = now_s()
        self.poll_round = PollRound(group, others, group.majority - 1)

    async def validate(self, status: UpstreamStatus | None) -> ReadPlacement | None:
        """Check whether the data that the read sees covers what it must see.

        Args:
            status: Status that the replica reported on the connection of the read,
                right before it; None if it could not be read.

        Returns:
            The placement, or None if the answer must not be used.
        """
        search = self.search
        assert self.poll_round is not None
        if status is None:
            self.log_dropped("no_status", None, None)
            return None
        self.replica.record_status(status, self.poll_sent_at_s)
        if self.replica.is_regressed:
            self.log_dropped("regressed", status, None)
            return None
        try:
            index = max(status.received, await self.poll_round.collect())
        except RequestError:
            self.log_dropped("no_majority", status, None)
            return None
        search.read_index.record_index(DatedIndex(self.poll_sent_at_s, index))
        minimum = max(index, search.requirement.own_writes)
        if not covers(status, search.group.term, minimum):
            self.log_dropped("not_reached", status, minimum)
            return None
        placement = search.place(
            self.replica, minimum, "overlapped", hold=False, needs_replica=True
        )
        log_placement(search.group, placement)
        return placement

    def log_dropped(
        self, reason: str, status: UpstreamStatus | None, minimum: LogPosition | None
    ) -> None:
        """Log that an answer is dropped; make the next reads wait for their index.

        Args:
            reason: Why the answer is dropped.
            status: Status that the replica reported, or None.
            minimum: Position that the read had to see, or None if it is not known.
        """
        search = self.search
        search.read_index.overlap_allowed_at_s = now_s() + OVERLAP_PAUSE_S
        log_decision(
            "read_overlap_dropped",
            group=search.group.name,
            upstream=self.replica.name,
            reason=reason,
            term=search.group.term,
            minimum=str(minimum or ""),
            applied=str(status.applied) if status is not None else "",
            waited_ms=round((now_s() - search.started_s) * 1000, 2),
        )


def choose_overlap(
    group: DatabaseGroup,
    read_index: ReadIndex,
    requirement: ReadRequirement,
    deadline_s: float,
) -> Overlap | None:
    """Choose a replica to which a read is sent before its index is known.

    Only a read that needs a new index gains from this, and only while no other round
    is in flight: concurrent reads share a round instead.

    Args:
        group: The database group.
        read_index: Its read index.
        requirement: What the read must see.
        deadline_s: Monotonic time at which the request gives up.

    Returns:
        The overlap, or None if the read has to wait for its index.
    """
    started_s = now_s()
    if (
        requirement.minimum is not None
        or requirement.max_age_s is not None
        or not read_index.is_idle
        or started_s < read_index.overlap_allowed_at_s
        or group.majority > MAJORITY_OF_PRIMARY_AND_REPLICA
        or group.section.read_policy != "quorum"
    ):
        return None
    group.record_request()
    search = Search(group, read_index, requirement, deadline_s, frozenset(), started_s)
    replica = choose_replica(search, estimate_index(search))
    if replica is None or not has_idle_connection(replica.pool):
        return None
    return Overlap(search, replica)


def estimate_index(search: Search) -> LogPosition:
    """Return the position that the read index is expected to have.

    Args:
        search: The search.
    """
    known = [search.requirement.own_writes]
    known += [
        upstream.status.received
        for upstream in search.group.upstreams.values()
        if upstream.status is not None and upstream.name != search.group.primary_name
    ]
    return max(known)


def has_idle_connection(pool: ConnectionPool) -> bool:
    """Whether a read would get a connection at once.

    Args:
        pool: The pool.
    """
    return pool.idle_count > 0 and pool.waiting_count == 0


def covers(status: UpstreamStatus, term: int, minimum: LogPosition) -> bool:
    """Whether the data of a replica covers a position of its group's log.

    Args:
        status: Status of the replica.
        term: Term of the group.
        minimum: The position.
    """
    return (
        status.role is Role.REPLICA
        and status.term == term
        and status.applied.term == term
        and status.applied >= minimum
    )
