import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.routing.idempotency import MAXIMUM_KEY_BYTES
from ebonyrack.routing.idempotency import Claim
from ebonyrack.routing.idempotency import build_outcome_record
from ebonyrack.routing.idempotency import claim_key
from ebonyrack.routing.idempotency import decode_text
from ebonyrack.routing.idempotency import encode_text
from ebonyrack.routing.idempotency import remove_expired
from ebonyrack.standins.group import StandinGroup
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.opening import open_connection

WAIT_S = 10.0
BOOK = "INSERT INTO bookings (slot, booker, request) VALUES (1, 'Mali', '{}')"
DONE = Claim(False, "INSERT 0 1")


async def connect(group, name="up-1"):
    address = group[name].address
    return await open_connection(address, "ebonyrack", "", "booking", WAIT_S)


async def run(connection, sql):
    answer = await connection.query(sql, WAIT_S)
    assert answer.error is None, answer.error
    return answer


async def book(connection, key, request):
    """Run one booking under an idempotency key, as a session does."""
    await run(connection, "BEGIN")
    claim = await claim_key(connection, key, WAIT_S)
    if not claim.is_first:
        await run(connection, "ROLLBACK")
        return claim
    answer = await run(connection, BOOK.format(request))
    await run(connection, build_outcome_record(key, answer.tag))
    await run(connection, "COMMIT")
    return claim


async def count_bookings(connection):
    return int((await run(connection, "SELECT count(*) FROM bookings")).rows[0][0])


@given(st.text(st.characters(codec=None), max_size=50))
def test_encoded_text_is_safe_in_a_literal(text):
    encoded = encode_text(text, 1000)
    assert not set(encoded) & set("'\\\"$\0")
    assert decode_text(encoded) == text


async def test_repeated_request_gets_the_recorded_outcome():
    async with StandinGroup() as group:
        connection = await connect(group)
        for key in ("k", "it's; DROP TABLE bookings --", "%20", "試験"):
            assert (await book(connection, key, key.encode().hex())).is_first
            assert await book(connection, key, "again") == DONE
        assert await count_bookings(connection) == 4
        connection.close()


async def test_rolled_back_claim_leaves_the_key_free():
    async with StandinGroup() as group:
        connection = await connect(group)
        await run(connection, "BEGIN")
        assert (await claim_key(connection, "k", WAIT_S)).is_first
        await run(connection, "ROLLBACK")
        assert (await book(connection, "k", "r")).is_first
        connection.close()


async def test_outcome_of_a_commit_with_lost_answer_is_recorded():
    async with StandinGroup() as group:
        group.lose_commit_answers("up-1")
        first = await connect(group)
        with pytest.raises(UpstreamLostError):
            await book(first, "k", "r")
        second = await connect(group)
        assert await book(second, "k", "r") == DONE
        assert await count_bookings(second) == 1
        second.close()


async def test_same_key_through_two_proxies_at_once_runs_once():
    async with StandinGroup() as group:
        connections = [await connect(group) for _ in range(2)]
        claims = await asyncio.gather(
            *(book(item, "k", f"r-{number}") for number, item in enumerate(connections))
        )
        assert sorted(claim.is_first for claim in claims) == [False, True]
        assert DONE in claims
        assert await count_bookings(connections[0]) == 1
        for connection in connections:
            connection.close()


async def test_recorded_outcome_survives_a_promotion():
    async with StandinGroup() as group:
        first = await connect(group)
        assert (await book(first, "k", "r")).is_first
        position = group["up-1"].log.last
        await group["up-2"].received.wait_for(position, WAIT_S)
        await group.kill("up-1")
        for name in ("up-2", "up-3"):
            assert await group[name].fence(2)
        await group["up-2"].promote(2)
        second = await connect(group, "up-2")
        assert await book(second, "k", "r") == DONE
        assert await count_bookings(second) == 1
        second.close()


async def test_claim_on_a_replaced_primary_fails():
    async with StandinGroup() as group:
        connection = await connect(group)
        await group["up-1"].fence(2)
        with pytest.raises((RequestError, UpstreamLostError)):
            await book(connection, "k", "r")
        assert group["up-1"].log.last.offset == 1


async def test_expired_keys_are_removed_in_bounded_batches(monkeypatch):
    monkeypatch.setattr("ebonyrack.routing.idempotency.DELETE_BATCH_ROWS", 2)
    async with StandinGroup() as group:
        connection = await connect(group)
        for number in range(3):
            await book(connection, f"k-{number}", f"r-{number}")
        assert await remove_expired(connection, 3600, WAIT_S) == 0
        assert await remove_expired(connection, -1, WAIT_S) == 2
        assert await remove_expired(connection, -1, WAIT_S) == 1
        assert (await book(connection, "k-0", "r-9")).is_first
        connection.close()


async def test_missing_table_is_a_permanent_error():
    async with StandinGroup() as group:
        connection = await connect(group)
        await run(connection, "DROP TABLE ebonyrack_requests")
        await run(connection, "BEGIN")
        with pytest.raises(RequestError) as caught:
            await claim_key(connection, "k", WAIT_S)
        assert caught.value.kind is ErrorKind.UNSUPPORTED
        connection.close()


async def test_long_key_is_refused_before_anything_is_sent():
    with pytest.raises(RequestError) as caught:
        await claim_key(None, "k" * (MAXIMUM_KEY_BYTES + 1), WAIT_S)
    assert caught.value.kind is ErrorKind.UNSUPPORTED
