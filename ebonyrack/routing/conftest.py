"""Fakes of a database group and its upstreams for the tests of placement."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from ebonyrack.config.sections import GroupSection
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LOG_START
from ebonyrack.core.position import LogPosition
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.status import Role
from ebonyrack.upstreams.status import UpstreamStatus


class FakeUpstream:
    """An upstream whose actual state the proxy learns only from polls.

    Attributes:
        actual: Status that the next poll returns.
        status: Status that the proxy knows.
        is_lost: Whether polls fail.
        may_answer: Polls wait until it is set.
        polls: Number of plain polls that were answered.
    """

    def __init__(self, name: str, role: Role) -> None:
        self.name = name
        position = LogPosition(1, 1)
        self.actual = UpstreamStatus(role, 1, 1, position, position, False)
        self.status = self.actual
        self.is_reachable = True
        self.is_regressed = False
        self.is_leaving = False
        self.is_lost = False
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.state_changed = asyncio.Condition()
        self.polls = 0
        self.pool = SimpleNamespace(
            busy_count=0, waiting_count=0, idle_count=1, limit=10
        )

    @property
    def counts_in_majority(self) -> bool:
        """Whether it may count in a majority."""
        return self.is_reachable and not self.is_regressed

    def record_status(self, status: UpstreamStatus, poll_sent_at_s: float) -> None:
        """Store a status that was read on another connection."""
        self.status = status

    def start_poll(self) -> asyncio.Task[UpstreamStatus]:
        """Start a plain poll."""
        return asyncio.create_task(self.poll())

    async def poll(
        self, position: LogPosition = LOG_START, wait_s: float = 0.0
    ) -> UpstreamStatus:
        """Return the actual status, at once or when a position is applied."""
        await asyncio.sleep(0)
        await self.may_answer.wait()
        if self.is_lost:
            raise UpstreamLostError("down")
        if wait_s > 0:
            await self.wait_for(position, wait_s)
        else:
            self.polls += 1
        self.status = self.actual
        return self.actual

    async def wait_for(self, position: LogPosition, wait_s: float) -> None:
        """Wait until a position is applied or the time has elapsed."""
        async with self.state_changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self.state_changed.wait_for(
                        lambda: self.actual.applied >= position
                    )
            except TimeoutError:
                return

    async def change(self, **values: Any) -> None:
        """Change the actual state."""
        async with self.state_changed:
            self.actual = replace(self.actual, **values)
            self.state_changed.notify_all()


class FakeGroup:
    """Three upstreams, `a` the primary in term 1."""

    def __init__(self, **values: Any) -> None:
        self.name = "scheduling"
        self.section = GroupSection(
            owner="database", upstreams=(), **{"read_wait_s": 5.0, **values}
        )
        self.upstreams = {
            name: FakeUpstream(name, Role.PRIMARY if name == "a" else Role.REPLICA)
            for name in "abc"
        }
        self.term = 1
        self.primary_name = "a"
        self.majority = 2
        self.lag_s = 0.0
        self.primary_history = SimpleNamespace(compute_lag=lambda position: self.lag_s)

    def __getitem__(self, name: str) -> FakeUpstream:
        return self.upstreams[name]

    def record_request(self) -> None:
        """Do nothing; the real group records that it gets requests."""

    def primary(self) -> FakeUpstream | None:
        """Return the primary if it is reachable."""
        upstream = self.upstreams[self.primary_name]
        return upstream if upstream.is_reachable else None

    async def wait_for_primary(self, deadline_s: float) -> FakeUpstream:
        """Return the primary or raise NO_PRIMARY."""
        primary = self.primary()
        if primary is None:
            raise RequestError(ErrorKind.NO_PRIMARY)
        return primary

    async def write(self, offset: int, *applied: str, term: int = 1) -> LogPosition:
        """Commit on the primary; the named upstreams apply the write too."""
        position = LogPosition(term, offset)
        for name in {self.primary_name, *applied}:
            await self[name].change(received=position, applied=position, term=term)
        return position


@pytest.fixture
async def group() -> FakeGroup:
    """Return a group with a primary and two replicas."""
    return FakeGroup()
