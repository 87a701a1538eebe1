"""Overlapped reads: sent to a replica while the read index is being made."""

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

# After a read that was sent in vain, reads wait for their index for this long.
PAUSE_S = 1.0


class Overlap:
    """A read on its way to a replica and the round that makes its index.

    The replica is polled on the connection of the read, right before it, so what
    the poll tells is shown to the read. That poll counts for the majority too.

    Attributes:
        search: The search that the read would have begun.
        replica: The replica.
        asked_at_s: Monotonic time before any poll was sent.
        others: Polls of the other upstreams.
    """

    __slots__ = ("search", "replica", "asked_at_s", "others")

    def __init__(self, search: Search, replica: Upstream) -> None:
        self.search = search
        self.replica = replica
        self.asked_at_s = search.started_s
        self.others: PollRound | None = None

    def __enter__(self) -> Self:
        self.search.read_index.has_overlap = True
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.search.read_index.has_overlap = False

    def start(self) -> None:
        """Poll the other upstreams; the replica is polled after it."""
        group = self.search.group
        others = [
            upstream
            for upstream in group.upstreams.values()
            if upstream.name != self.replica.name
        ]
        self.asked_at_s = now_s()
        self.others = PollRound(group, others, group.majority - 1)

    async def validate(self, status: UpstreamStatus | None) -> ReadPlacement | None:
        """Tell whether what the read is shown covers what it must see.

        Args:
            status: What the replica told on the connection of the read, right
                before it; None if it could not be read.

        Returns:
            The placement, or None if the answer must not be used.
        """
        search = self.search
        assert self.others is not None
        if status is None:
            self.log_dropped("no_status", None, None)
            return None
        self.replica.record_status(status, self.asked_at_s)
        if self.replica.is_regressed:
            self.log_dropped("regressed", status, None)
            return None
        try:
            index = max(status.received, await self.others.collect())
        except RequestError:
            self.log_dropped("no_majority", status, None)
            return None
        search.read_index.remember(DatedIndex(self.asked_at_s, index))
        minimum = max(index, search.requirement.own_writes)
        if not shows(status, search.group.term, minimum):
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
        """Log that an answer is dropped, and let the next reads wait for their index.

        Args:
            reason: Why.
            status: What the replica told, or None.
            minimum: What the read had to see, or None if that is not known.
        """
        search = self.search
        search.read_index.overlap_from_s = now_s() + PAUSE_S
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

    Only a read that needs a new index gains by it, and only while no other round
    is under way: reads that come together share a round instead.

    Args:
        group: The database group.
        read_index: Its read index.
        requirement: What the read must see.
        deadline_s: Monotonic time at which the request gives up.

    Returns:
        The overlap, or None if the read is to wait for its index.
    """
    started_s = now_s()
    if (
        requirement.minimum is not None
        or requirement.max_age_s is not None
        or not read_index.is_idle
        or started_s < read_index.overlap_from_s
        or group.majority > MAJORITY_OF_PRIMARY_AND_REPLICA
        or group.section.read_policy != "quorum"
    ):
        return None
    group.record_request()
    search = Search(group, read_index, requirement, deadline_s, frozenset(), started_s)
    replica = choose_replica(search, find_latest(search))
    if replica is None or not has_idle_connection(replica.pool):
        return None
    return Overlap(search, replica)


def find_latest(search: Search) -> LogPosition:
    """Return the highest position that the index is expected to have.

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
    """Whether a read gets a connection at once.

    Args:
        pool: The pool.
    """
    return pool.idle_count > 0 and pool.waiting_count == 0


def shows(status: UpstreamStatus, term: int, minimum: LogPosition) -> bool:
    """Whether a replica with a status shows a position of its group's log.

    Args:
        status: The status.
        term: Term of the group.
        minimum: The position.
    """
    return (
        status.role is Role.REPLICA
        and status.term == term
        and status.applied.term == term
        and status.applied >= minimum
    )
