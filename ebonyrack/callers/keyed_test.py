"""Requests with an idempotency key: their commit and the answer to a repeat."""

import pytest

from ebonyrack.callers import commit
from ebonyrack.callers import writing
from ebonyrack.callers.conftest import find_error
from ebonyrack.callers.conftest import join_kinds
from ebonyrack.standins.sql_error import SqlError
from ebonyrack.standins.upstream import StandinUpstream
from ebonyrack.upstreams.connection import UpstreamConnection

PRIMARY = "up-1"
REQUEST = "only-once"
INSERT = f"INSERT INTO bookings (slot, booker, request) VALUES (1, 'me', '{REQUEST}')"
SET_KEY = "SET ebonyrack.idempotency_key = 'k'"
LONE = (SET_KEY, INSERT)
TRANSACTION = (SET_KEY, "BEGIN", INSERT, "COMMIT")
BOTH = pytest.mark.parametrize("statements", [LONE, TRANSACTION])
CLAIM, STATEMENT, COMMIT = b"ON CONFLICT (key) DO NOTHING", INSERT.encode(), b"COMMIT"


async def run(caller, statements):
    """Run statements; return the frames of the last answer."""
    for sql in statements:
        frames = await caller.query(sql)
    return frames


def watch_sends(monkeypatch, proxy, note):
    """Call a function with what sessions send to their upstream, before it is sent."""
    send = UpstreamConnection.send

    def watched(connection, data):
        if any(session.connection is connection for session in proxy.sessions):
            note(bytes(data))
        send(connection, data)

    monkeypatch.setattr(UpstreamConnection, "send", watched)


@BOTH
async def test_begin_claim_and_record_cost_no_round_trip(
    monkeypatch, proxy, statements
):
    sent = []
    watch_sends(monkeypatch, proxy, sent.append)
    caller = await proxy.start_wire()
    assert "C" in join_kinds(await run(caller, statements))
    assert len(sent) == 3
    for data, part in zip(sent, (CLAIM, STATEMENT, COMMIT), strict=True):
        assert part in data
    assert (
        b"BEGIN" in sent[0]
        and b"outcome" in sent[2]
        and b"ebonyrack_last_commit" in sent[2]
    )


@BOTH
async def test_an_outcome_that_is_refused_rolls_back(monkeypatch, proxy, statements):
    caller = await proxy.start_wire()
    with monkeypatch.context() as patches:
        for module in (commit, writing):
            patches.setattr(
                module,
                "build_outcome_record",
                lambda key, outcome: "INSERT INTO missing (key) VALUES ('k')",
            )
        sqlstate, detail = find_error(await run(caller, statements))
    assert sqlstate == "0A000" and detail.startswith("ran=no") and "42P01" in detail
    assert proxy.count_rows(PRIMARY, REQUEST) == 0
    # The connection is clean and the key is free.
    assert len(proxy.pool(PRIMARY).busy) == 0
    assert "E" not in join_kinds(await run(caller, statements))
    assert proxy.count_rows(PRIMARY, REQUEST) == 1


@BOTH
async def test_an_error_before_the_connection_ends_proves_that_it_did_not_run(
    monkeypatch, proxy, statements
):
    def end_upstream_sessions(data):
        if COMMIT in data:
            for session in list(proxy.standins[PRIMARY].sessions.values()):
                session.terminate_transaction()

    caller = await proxy.start_wire()
    with monkeypatch.context() as patches:
        watch_sends(patches, proxy, end_upstream_sessions)
        sqlstate, detail = find_error(await run(caller, statements))
    assert sqlstate == "08006" and detail.startswith("ran=no")
    assert proxy.count_rows(PRIMARY, REQUEST) == 0


@BOTH
async def test_an_error_of_the_commit_is_passed_on(monkeypatch, proxy, statements):
    """A deferred constraint fails there; told to come again, a caller never ends."""

    def refuse(upstream, transaction, term):
        upstream.rollback(transaction)
        raise SqlError("23503", "a deferred constraint is violated")

    caller = await proxy.start_wire()
    with monkeypatch.context() as patches:
        patches.setattr(StandinUpstream, "commit", refuse)
        frames = await run(caller, statements)
    assert find_error(frames) == ("23503", "") and frames[-1] == (b"Z", b"I")
    assert proxy.count_rows(PRIMARY, REQUEST) == 0
    assert "E" not in join_kinds(await run(caller, statements))
    assert proxy.count_rows(PRIMARY, REQUEST) == 1


async def test_a_request_that_deletes_its_own_key_still_runs_once(proxy):
    caller = await proxy.start_wire()
    delete = "DELETE FROM ebonyrack_requests"
    for replayed in (b"off", b"on"):
        frames = await run(caller, (SET_KEY, delete))
        assert (b"C", b"DELETE 1\x00") in frames
        assert (b"S", b"ebonyrack.replayed\x00" + replayed + b"\x00") in frames


@pytest.mark.parametrize("begin", ["BEGIN -- first", "BEGIN; /* all */", "BEGIN;"])
async def test_a_comment_behind_begin_hides_no_claim(proxy, begin):
    caller = await proxy.start_wire()
    statements = (SET_KEY, begin, INSERT, "COMMIT")
    assert (b"C", b"COMMIT\x00") in await run(caller, statements)
    sqlstate, detail = find_error(await run(caller, statements[:3]))
    assert sqlstate == "23505" and "already_ran" in detail
    assert proxy.count_rows(PRIMARY, REQUEST) == 1
