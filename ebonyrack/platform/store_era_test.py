"""A store that is restored from a copy which is some seconds old."""

import asyncio

import pytest
from result import Ok

from ebonyrack.platform.kv_store import KvStore
from ebonyrack.promotion import lease as lease_module
from ebonyrack.promotion.lease import acquire_promotion_lease
from ebonyrack.standins.kv_service import KvService
from ebonyrack.store.http_client import HttpResponse
from ebonyrack.store.leasing_store import StoreWrite


@pytest.fixture
async def service():
    async with KvService({}, era=1) as running:
        yield running


@pytest.fixture
async def store(service):
    async with KvStore(service.address, timeout_s=0.3) as running:
        yield running


@pytest.fixture
def short_lease(monkeypatch):
    monkeypatch.setattr(lease_module, "LEASE_TTL_S", 1.0)


async def write_key(store, key, value=b"x", lease=0, revision=0):
    return (await store.write(StoreWrite(key, value, lease, revision))).ok_value


async def test_revisions_increase_although_the_store_gives_them_out_again(
    service, store
):
    service.take_copy()
    before = [await write_key(store, f"a/{number}") for number in range(5)]
    await service.restore_copy()
    await store.read_prefix("a/")
    after = await write_key(store, "a/0")
    assert service.items["a/0"].revision == 2
    assert after > max(before)


async def test_write_on_a_revision_of_an_earlier_era_changes_nothing(service, store):
    service.take_copy()
    revision = await write_key(store, "a/1", b"old")
    await service.restore_copy()
    await service.put("a/1", b"new")
    await store.read_prefix("a/")
    # The store has given the same revision to another value.
    assert await write_key(store, "a/1", b"stale", revision=revision) is None
    assert await store.delete("a/1", revision) == Ok(False)
    assert service.items["a/1"].value == b"new"


async def test_lease_of_an_earlier_era_has_ended(service, store):
    await service.put("a", b"x")
    service.take_copy()
    mine = (await store.grant_lease(5.0)).ok_value
    await service.restore_copy()
    async with KvStore(service.address) as other:
        await other.grant_lease(5.0)
    # Another lease has the same number now.
    assert await store.renew_lease(mine) == Ok(False)
    assert await store.renew_lease(mine) == Ok(False)
    assert await write_key(store, "b", lease=mine) is None


async def test_watch_from_an_earlier_era_starts_anew(service, store):
    service.take_copy()
    revision = (await store.read_prefix("a/")).ok_value.revision
    for number in range(5):
        revision = await write_key(store, f"a/{number}")
    await service.restore_copy()
    for number in range(9):
        await service.put(f"a/{number}", b"new")
    # The revision exists again: the store itself reports no lost history.
    assert await store.watch_prefix("a/", revision, 0.1) == Ok(None)


async def test_waiting_watch_ends_when_another_call_sees_the_new_era(service, store):
    revision = await service.put("a/1", b"x")
    await store.read_prefix("a/")
    revision = (await store.read_prefix("a/")).ok_value.revision
    service.take_copy()
    watch = asyncio.create_task(store.watch_prefix("a/", revision, 5.0))
    await asyncio.sleep(0.05)
    await service.restore_copy()
    await store.read_key("a/1")
    async with asyncio.timeout(1.0):
        assert await watch == Ok(None)


async def test_pages_of_two_eras_are_not_mixed(service, store, monkeypatch):
    for number in range(8):
        await service.put(f"a/{number}", b"old")
    service.take_copy()
    original = store.get
    calls = []

    async def restore_after_first(*arguments):
        response = await original(*arguments)
        calls.append(arguments)
        if len(calls) == 1:
            await service.restore_copy()
            for number in range(8):
                await service.put(f"a/{number}", b"new")
        return response

    monkeypatch.setattr(KvStore, "get", lambda self, *rest: restore_after_first(*rest))
    items = (await store.read_prefix("a/")).ok_value.items
    assert [item.value for item in items] == [b"new"] * 8


async def test_late_response_of_an_earlier_era_is_rejected(service, store):
    service.take_copy()
    await service.restore_copy()
    await store.read_prefix("a/")
    late = HttpResponse(200, ((b"Store-Era", b"1"),), b"{}")
    assert store.era.accept(late).is_err()
    assert store.generation == 2


async def test_no_lease_is_taken_while_a_forgotten_holder_may_act(
    service, store, short_lease
):
    async with KvStore(service.address) as other:
        await store.read_key("x")
        await other.read_key("x")
        await asyncio.sleep(1.0)
        service.take_copy()
        lease = await acquire_promotion_lease(store, "g", "proxy-1")
        assert lease is not None
        await service.restore_copy()
        await other.read_key("x")
        assert await acquire_promotion_lease(other, "g", "proxy-2") is None
        await asyncio.sleep(1.0)
        later = await acquire_promotion_lease(other, "g", "proxy-2")
        assert later is not None
        assert later.fencing_token > lease.fencing_token


async def test_holder_that_sees_a_new_era_stops(service, store, short_lease):
    await store.read_key("x")
    await asyncio.sleep(1.0)
    lease = await acquire_promotion_lease(store, "g", "proxy-1")
    assert lease.is_held
    service.take_copy()
    await service.restore_copy()
    await store.read_key("x")
    assert not lease.is_held
    assert not lease.allows_order
