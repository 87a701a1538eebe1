import asyncio
import time
from dataclasses import replace

import pytest

from ebonyrack.core.clock import now_s
from ebonyrack.core.position import LogPosition
from ebonyrack.standins.group import StandinGroup
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.control import ControlConnection
from ebonyrack.upstreams.status import Role
from ebonyrack.upstreams.upstream import PAUSE_LIMIT_S
from ebonyrack.upstreams.upstream import Upstream


class RecordingControl(ControlConnection):
    """Records the queries that it runs."""

    def __init__(self, address, section):
        super().__init__(address, section)
        self.calls = []

    async def query(self, sql, timeout_s):
        self.calls.append(sql)
        return await super().query(sql, timeout_s)


@pytest.fixture
async def standins():
    async with StandinGroup() as group:
        yield group


@pytest.fixture
async def upstream(standins):
    section = standins.section()
    async with Upstream(section.upstreams[0], section, 6) as upstream:
        yield upstream


async def test_concurrent_calls_share_a_poll_that_is_not_sent_yet(upstream):
    sent = []
    query_status = upstream.query_status

    async def count(deadline_s):
        sent.append(deadline_s)
        return await query_status(deadline_s)

    upstream.query_status = count
    first = asyncio.create_task(upstream.poll())
    while not sent:
        await asyncio.sleep(0)
    # The first poll is in flight: its status may be older than these calls.
    await asyncio.gather(*(upstream.poll() for _ in range(5)))
    await first
    assert len(sent) == 2


async def test_one_poll_resolves_every_wait_that_it_covers(standins):
    section = standins.section()
    async with Upstream(section.upstreams[1], section, 6) as replica:
        replica.position_waits.control = RecordingControl(replica.spec.address, section)
        waits = [
            asyncio.create_task(replica.poll(LogPosition(1, 1), 5.0, received=True))
            for _ in range(10)
        ]
        statuses = await asyncio.gather(*waits)
        assert len(replica.position_waits.control.calls) == 1
        assert all(status.received == LogPosition(1, 1) for status in statuses)


async def test_wait_that_times_out_returns_the_current_status(standins):
    section = standins.section()
    async with Upstream(section.upstreams[1], section, 6) as replica:
        status = await replica.poll(LogPosition(1, 99), 0.05)
        assert status.applied == LogPosition(1, 1)


async def test_upstream_is_lost_when_connections_are_refused_and_recovers(
    standins, upstream
):
    await upstream.poll()
    assert upstream.state == "answering"
    await standins.kill("up-1")
    with pytest.raises(UpstreamLostError):
        await upstream.poll()
    assert (upstream.state, upstream.refuses_connections) == ("lost", True)
    await standins.restart("up-1")
    await upstream.poll()
    assert upstream.state == "answering"


async def test_timeout_noticed_late_does_not_mark_the_upstream_lost(upstream):
    await upstream.poll()
    upstream.record_poll_failure(UpstreamLostError("no reply"), PAUSE_LIMIT_S * 2)
    assert upstream.state == "answering"
    upstream.record_poll_failure(UpstreamLostError("no reply"), 0.0)
    assert upstream.state == "lost"


# Guards against a ballot over a healthy primary: this process stood still for a moment
# while the reply was on its way, and took the primary for lost.
async def test_poll_that_timed_out_while_this_process_stood_still_is_repeated(
    upstream,
):
    await upstream.poll()
    limit_s = upstream.section.suspect_after_s
    poll = upstream.start_poll()
    while upstream.next_poll is not None:
        await asyncio.sleep(0)
    time.sleep(limit_s + PAUSE_LIMIT_S / 2)
    await poll
    assert upstream.state == "answering"


async def test_silent_upstream_is_lost_although_the_timeout_was_noticed_late(
    standins, upstream
):
    await upstream.poll()
    standins.freeze("up-1")
    limit_s = upstream.section.suspect_after_s
    poll = upstream.start_poll()
    while upstream.next_poll is not None:
        await asyncio.sleep(0)
    started_s = now_s()
    time.sleep(limit_s + PAUSE_LIMIT_S / 2)
    with pytest.raises(UpstreamLostError):
        await poll
    assert upstream.state == "lost"
    assert now_s() - started_s < 2 * limit_s


async def test_late_status_of_a_lower_term_is_dropped(upstream):
    old = await upstream.poll()
    poll_sent_at_s = now_s()
    promoted = replace(old, term=7, fenced_term=7)
    upstream.record_status(promoted, now_s())
    upstream.record_status(replace(old, role=Role.REPLICA), poll_sent_at_s)
    assert upstream.status == promoted
    # A lower term is accepted from a later poll: the upstream was set up again.
    upstream.record_status(old, now_s())
    assert upstream.status == old


async def test_upstream_that_rejects_a_connection_over_its_limit_is_not_lost(standins):
    standins["up-1"].options.connection_limit = 1
    section = standins.section()
    async with Upstream(section.upstreams[0], section, 6) as first:
        await first.poll()
        async with Upstream(section.upstreams[0], section, 6) as second:
            with pytest.raises(UpstreamLostError):
                await second.poll()
            assert second.state == "unknown"
