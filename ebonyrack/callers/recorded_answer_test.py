"""A repeated request with an idempotency key gets the answer to the first one."""

import asyncio

import asyncpg
import psycopg
import pytest
from hypothesis import given
from hypothesis import strategies as st
from pygwire.messages import Query

from ebonyrack.callers.conftest import GROUP
from ebonyrack.callers.conftest import SYNC
from ebonyrack.callers.conftest import USER
from ebonyrack.callers.conftest import bind
from ebonyrack.callers.conftest import describe
from ebonyrack.callers.conftest import execute
from ebonyrack.callers.conftest import find_error
from ebonyrack.callers.conftest import join_kinds
from ebonyrack.callers.conftest import parse
from ebonyrack.callers.conftest import serve_group
from ebonyrack.callers.exchange import SimpleRequest
from ebonyrack.callers.recorded_answer import MAXIMUM_PACKED_BYTES
from ebonyrack.callers.recorded_answer import RecordedAnswer
from ebonyrack.callers.recorded_answer import build_fingerprint
from ebonyrack.callers.recorded_answer import build_repeated_answer
from ebonyrack.callers.recorded_answer import decode_answer
from ebonyrack.callers.recorded_answer import encode_answer
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError

PRIMARY = "up-1"
REQUEST = "only-once"
SET_KEY = "SET ebonyrack.idempotency_key = 'k'"
INSERT = (
    "INSERT INTO bookings (slot, booker, request) VALUES (7, 'me', 'only-once')"
    " RETURNING slot, booker, random()"
)
UPDATE_NONE = "UPDATE bookings SET slot = 1 WHERE slot = -1 RETURNING booker"
# The same request in the forms that drivers send.
FORMS = {
    "simple": (Query(query_string=INSERT).to_wire(),),
    "two commands": (Query(query_string=f"{INSERT}; {UPDATE_NONE}").to_wire(),),
    "unnamed": (parse(b"", INSERT.encode()), bind(b""), describe(b"P", b"")),
    "named": (parse(b"s", INSERT.encode()), describe(b"S", b"s"), bind(b"s")),
    "not described": (parse(b"s", INSERT.encode()), bind(b"s")),
}
for name in ("unnamed", "named", "not described"):
    FORMS[name] += (execute(), SYNC)
EACH_FORM = pytest.mark.parametrize("form", FORMS)


async def send_keyed(caller, form):
    """Send a request with the key; return its answer and reports of a replay."""
    await caller.query(SET_KEY)
    frames = await caller.send_and_read(*FORMS[form])
    answer = [frame for frame in frames if frame[0] != b"S"]
    reports = [payload for kind, payload in frames if kind == b"S"]
    return answer, [
        payload for payload in reports if payload.startswith(b"ebonyrack.replayed")
    ]


@EACH_FORM
async def test_repeat_gets_same_answer(proxy, form):
    caller = await proxy.start_wire()
    first, replayed = await send_keyed(caller, form)
    assert join_kinds(first).count("D") == 1 and replayed == [
        b"ebonyrack.replayed\x00off\x00"
    ]
    assert await send_keyed(caller, form) == (first, [b"ebonyrack.replayed\x00on\x00"])
    assert proxy.count_rows(PRIMARY, REQUEST) == 1


@EACH_FORM
async def test_repeat_after_lost_answer_gets_rows(proxy, form):
    proxy.standins.lose_commit_answers(PRIMARY)
    caller = await proxy.start_wire()
    first, _ = await send_keyed(caller, form)
    assert find_error(first)[0] == "08007"
    second, replayed = await send_keyed(caller, form)
    assert replayed == [b"ebonyrack.replayed\x00on\x00"]
    assert join_kinds(second).count("D") == 1 and any(
        b"me" in item[1] for item in second
    )
    assert (b"C", b"INSERT 0 1\x00") in second
    assert proxy.count_rows(PRIMARY, REQUEST) == 1


@EACH_FORM
async def test_concurrent_requests_through_two_proxies_get_same_answer(proxy, form):
    section = proxy.group.section
    async with serve_group(proxy.standins, section, {}, {}) as other:
        callers = [await one.start_wire() for one in (proxy, other)]
        answers = await asyncio.gather(*(send_keyed(one, form) for one in callers))
    assert answers[0][0] == answers[1][0] and join_kinds(answers[0][0]).count("D") == 1
    assert sorted(replayed[0][-3:-1] for _, replayed in answers) == [b"ff", b"on"]
    assert proxy.count_rows(PRIMARY, REQUEST) == 1


@pytest.mark.parametrize("form", ["simple", "unnamed"])
async def test_repeat_in_other_form_is_rejected_as_already_run(proxy, form):
    caller = await proxy.start_wire()
    await send_keyed(caller, "not described")
    sqlstate, detail = find_error((await send_keyed(caller, form))[0])
    assert sqlstate == "23505" and detail.startswith("ran=yes")
    assert proxy.count_rows(PRIMARY, REQUEST) == 1


def test_another_application_gets_no_rows():
    request = SimpleRequest(FORMS["simple"][0])
    fingerprint = build_fingerprint("booking", request)
    outcome = encode_answer(RecordedAnswer(("INSERT 0 1",), fingerprint, (b"rows",)))
    assert build_repeated_answer("booking", request, outcome) == b"rows"
    with pytest.raises(RequestError) as caught:
        build_repeated_answer("feeds", request, outcome)
    assert caught.value.kind is ErrorKind.ALREADY_RAN


async def test_single_statement_repeating_transaction_is_rejected_as_already_run(proxy):
    caller = await proxy.start_wire()
    for sql in (SET_KEY, "BEGIN", INSERT, "COMMIT"):
        await caller.query(sql)
    sqlstate, detail = find_error((await send_keyed(caller, "simple"))[0])
    assert sqlstate == "23505" and detail.startswith("ran=yes")


async def test_transaction_repeating_single_statement_gets_its_tag(proxy):
    caller = await proxy.start_wire()
    await send_keyed(caller, "simple")
    for sql in (SET_KEY, "BEGIN"):
        await caller.query(sql)
    sqlstate, detail = find_error(await caller.query(UPDATE_NONE))
    assert sqlstate == "23505" and detail.endswith("outcome INSERT 0 1")


@pytest.mark.parametrize("value_bytes", [MAXIMUM_PACKED_BYTES, 60_000])
async def test_too_large_rows_are_rejected_before_commit(proxy, value_bytes):
    caller = await proxy.start_wire()
    long = INSERT.replace("me", "x" * value_bytes)
    await caller.query(SET_KEY)
    frames = await caller.query(long)
    sqlstate, detail = find_error(frames)
    assert "C" not in join_kinds(frames)
    assert sqlstate == "0A000" and detail.startswith("ran=no") and "8192" in detail
    assert proxy.count_rows(PRIMARY, REQUEST) == 0
    assert len(proxy.pool(PRIMARY).busy) == 0
    # Without the rows it is accepted, under the same key.
    await caller.query(SET_KEY)
    frames = await caller.query(long.partition(" RETURNING")[0])
    assert (b"C", b"INSERT 0 1\x00") in frames
    assert proxy.count_rows(PRIMARY, REQUEST) == 1


async def test_repeat_prepares_its_statement(proxy):
    first, second = [await proxy.start_wire() for _ in range(2)]
    await send_keyed(first, "named")
    await send_keyed(second, "named")
    # The statement is prepared: the database itself rejects the duplicate booking.
    frames = await second.send_and_read(bind(b"s"), execute(), SYNC)
    assert find_error(frames)[0] == "23505" and proxy.count_rows(PRIMARY, REQUEST) == 1


async def test_psycopg_and_asyncpg_repeats_get_same_rows(proxy):
    address = proxy.listener.address
    sql = "INSERT INTO bookings (slot, request) VALUES ({}) RETURNING slot, request"
    seen = []
    async with await proxy.connect() as connection:
        for _ in range(2):
            await connection.execute(SET_KEY)
            cursor = connection.cursor(row_factory=psycopg.rows.tuple_row, binary=True)
            await cursor.execute(sql.format("%s, %s"), (5, "a"))
            seen.append(await cursor.fetchall())
    assert seen == [[(5, "a")], [(5, "a")]]
    connection = await asyncpg.connect(
        host=address.host, port=address.port, user=USER, database=GROUP, ssl=False
    )
    for _ in range(2):
        await connection.execute(SET_KEY.replace("'k'", "'l'"))
        row = await connection.fetchrow(sql.format("$1, $2"), 6, "b")
        assert tuple(row) == (6, "b")
    await connection.close()


@given(
    st.lists(st.text(max_size=20), min_size=1),
    st.binary(max_size=16),
    st.lists(st.binary(min_size=1, max_size=50)),
)
def test_decoding_reverses_encoding(tags, fingerprint, frames):
    if not frames:
        fingerprint = b""
        tags = [tag.replace("\n", "").removeprefix("answer:") for tag in tags]
    answer = RecordedAnswer(tuple(tags), fingerprint, tuple(frames))
    assert decode_answer(encode_answer(answer)) == answer


@pytest.mark.parametrize("text", ["answer:", "answer:!", "answer:kQ==", "answer:kwEC"])
def test_damaged_record_is_reported_as_already_run(text):
    with pytest.raises(RequestError) as caught:
        decode_answer(text)
    assert caught.value.kind is ErrorKind.ALREADY_RAN
