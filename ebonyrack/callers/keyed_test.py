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
AUTOCOMMIT = (SET_KEY, INSERT)
TRANSACTION = (SET_KEY, "BEGIN", INSERT, "COMMIT")
BOTH_KINDS = pytest.mark.parametrize("statements", [AUTOCOMMIT, TRANSACTION])
CLAIM, STATEMENT, COMMIT = b"ON CONFLICT (key) DO NOTHING", INSERT.encode(), b"COMMIT"


async def run_statements(caller, statements):
    """Run statements; return the frames of the last answer."""
    for sql in statements:
        frames = await caller.query(sql)
    return frames


def watch_sends(monkeypatch, proxy, callback):
    """Call a function with the data of each send to an upstream, before it is sent."""
    send = UpstreamConnection.send

    def send_watched(connection, data):
        if any(session.connection is connection for session in proxy.sessions):
            callback(bytes(data))
        send(connection, data)

    monkeypatch.setattr(UpstreamConnection, "send", send_watched)


@BOTH_KINDS
async def test_begin_claim_and_outcome_record_add_no_round_trip(
    monkeypatch, proxy, statements
):
    sent = []
    watch_sends(monkeypatch, proxy, sent.append)
    caller = await proxy.start_wire()
    assert "C" in join_kinds(await run_statements(caller, statements))
    assert len(sent) == 3
    for data, part in zip(sent, (CLAIM, STATEMENT, COMMIT), strict=True):
        assert part in data
    assert (
        b"BEGIN" in sent[0]
        and b"outcome" in sent[2]
        and b"ebonyrack_last_commit" in sent[2]
    )


@BOTH_KINDS
async def test_refused_outcome_record_rolls_back(monkeypatch, proxy, statements):
    caller = await proxy.start_wire()
    with monkeypatch.context() as patches:
        for module in (commit, writing):
            patches.setattr(
                module,
                "build_outcome_record",
                lambda key, outcome: "INSERT INTO missing (key) VALUES ('k')",
            )
        sqlstate, detail = find_error(await run_statements(caller, statements))
    assert sqlstate == "0A000" and detail.startswith("ran=no") and "42P01" in detail
    assert proxy.count_rows(PRIMARY, REQUEST) == 0
    # The connection is clean and the key is free.
    assert len(proxy.pool(PRIMARY).busy) == 0
    assert "E" not in join_kinds(await run_statements(caller, statements))
    assert proxy.count_rows(PRIMARY, REQUEST) == 1


@BOTH_KINDS
async def test_error_before_connection_loss_proves_rollback(
    monkeypatch, proxy, statements
):
    def end_upstream_sessions(data):
        if COMMIT in data:
            for session in list(proxy.standins[PRIMARY].sessions.values()):
                session.terminate_transaction()

    caller = await proxy.start_wire()
    with monkeypatch.context() as patches:
        watch_sends(patches, proxy, end_upstream_sessions)
        sqlstate, detail = find_error(await run_statements(caller, statements))
    assert sqlstate == "08006" and detail.startswith("ran=no")
    assert proxy.count_rows(PRIMARY, REQUEST) == 0


@BOTH_KINDS
async def test_commit_error_is_passed_on(monkeypatch, proxy, statements):
    """A deferred constraint fails at COMMIT; a retry would fail again, without end."""

    def refuse(upstream, transaction, term):
        upstream.rollback(transaction)
        raise SqlError("23503", "a deferred constraint is violated")

    caller = await proxy.start_wire()
    with monkeypatch.context() as patches:
        patches.setattr(StandinUpstream, "commit", refuse)
        frames = await run_statements(caller, statements)
    assert find_error(frames) == ("23503", "") and frames[-1] == (b"Z", b"I")
    assert proxy.count_rows(PRIMARY, REQUEST) == 0
    assert "E" not in join_kinds(await run_statements(caller, statements))
    assert proxy.count_rows(PRIMARY, REQUEST) == 1


async def test_request_that_deletes_its_own_key_runs_once(proxy):
    caller = await proxy.start_wire()
    delete = "DELETE FROM ebonyrack_requests"
    for replayed in (b"off", b"on"):
        frames = await run_statements(caller, (SET_KEY, delete))
        assert (b"C", b"DELETE 1\x00") in frames
        assert (b"S", b"ebonyrack.replayed\x00" + replayed + b"\x00") in frames


@pytest.mark.parametrize("begin", ["BEGIN -- first", "BEGIN; /* all */", "BEGIN;"])
async def test_comment_after_begin_does_not_hide_key_claim(proxy, begin):
    caller = await proxy.start_wire()
    statements = (SET_KEY, begin, INSERT, "COMMIT")
    assert (b"C", b"COMMIT\x00") in await run_statements(caller, statements)
    sqlstate, detail = find_error(await run_statements(caller, statements[:3]))
    assert sqlstate == "23505" and "already_ran" in detail
    assert proxy.count_rows(PRIMARY, REQUEST) == 1
