import asyncio
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


class CountingControl(ControlConnection):
    """Notes the queries that it makes."""

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


async def test_callers_share_a_poll_that_is_not_sent_yet(upstream):
    sent = []
    query_status = upstream.query_status

    async def count(deadline_s):
        sent.append(deadline_s)
        return await query_status(deadline_s)

    upstream.query_status = count
    first = asyncio.create_task(upstream.poll())
    while not sent:
        await asyncio.sleep(0)
    # The first is in flight: its answer may tell of a moment before these calls.
    await asyncio.gather(*(upstream.poll() for _ in range(5)))
    await first
    assert len(sent) == 2


async def test_one_call_settles_every_wait_that_it_covers(standins):
    section = standins.section()
    async with Upstream(section.upstreams[1], section, 6) as replica:
        replica.waits.control = CountingControl(replica.spec.address, section)
        waits = [
            asyncio.create_task(replica.poll(LogPosition(1, 1), 5.0, received=True))
            for _ in range(10)
        ]
        answers = await asyncio.gather(*waits)
        assert len(replica.waits.control.calls) == 1
        assert all(answer.received == LogPosition(1, 1) for answer in answers)


async def test_wait_that_is_over_answers_the_present_status(standins):
    section = standins.section()
    async with Upstream(section.upstreams[1], section, 6) as replica:
        status = await replica.poll(LogPosition(1, 99), 0.05)
        assert status.applied == LogPosition(1, 1)


async def test_refused_upstream_is_lost_and_comes_back(standins, upstream):
    await upstream.poll()
    assert upstream.state == "answering"
    await standins.kill("up-1")
    with pytest.raises(UpstreamLostError):
        await upstream.poll()
    assert (upstream.state, upstream.refuses_connections) == ("lost", True)
    await standins.restart("up-1")
    await upstream.poll()
    assert upstream.state == "answering"


async def test_a_timeout_noticed_late_is_not_held_against_the_upstream(upstream):
    await upstream.poll()
    upstream.record_poll_failure(UpstreamLostError("no answer"), PAUSE_LIMIT_S * 2)
    assert upstream.state == "answering"
    upstream.record_poll_failure(UpstreamLostError("no answer"), 0.0)
    assert upstream.state == "lost"


async def test_late_answer_of_a_lower_term_is_dropped(upstream):
    old = await upstream.poll()
    asked_at_s = now_s()
    promoted = replace(old, term=7, fenced_term=7)
    upstream.record_status(promoted, now_s())
    upstream.record_status(replace(old, role=Role.REPLICA), asked_at_s)
    assert upstream.status == promoted
    # An answer asked for later counts: the upstream was set up anew.
    upstream.record_status(old, now_s())
    assert upstream.status == old


async def test_upstream_without_a_connection_to_spare_is_not_lost(standins):
    standins["up-1"].options.connection_limit = 1
    section = standins.section()
    async with Upstream(section.upstreams[0], section, 6) as first:
        await first.poll()
        async with Upstream(section.upstreams[0], section, 6) as second:
            with pytest.raises(UpstreamLostError):
                await second.poll()
            assert second.state == "unknown"
