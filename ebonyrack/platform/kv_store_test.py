import asyncio

import pytest
from result import Err
from result import Ok

from ebonyrack.platform.kv_store import KvStore
from ebonyrack.promotion.lease import acquire_promotion_lease
from ebonyrack.promotion.lease import release_promotion_lease
from ebonyrack.standins.kv_service import KvService
from ebonyrack.store.leasing_store import StoreWrite
from ebonyrack.store.store_response import StoreErrorKind


@pytest.fixture
async def service():
    async with KvService({}) as running:
        yield running


@pytest.fixture
async def store(service):
    async with KvStore(service.address, timeout_s=0.3) as running:
        yield running


async def test_all_pages_of_a_prefix_are_read(service, store):
    for number in range(8):
        await service.put(f"servers/{number}", b"x")
    await service.put("op/config", b"y")
    changes = (await store.read_prefix("servers/")).ok_value
    assert [item.key for item in changes.items] == [f"servers/{n}" for n in range(8)]
    assert changes.is_complete


async def test_stale_read_is_requested_only_if_allowed(service, store):
    await service.put("servers/1", b"x")
    await store.read_prefix("servers/")
    assert service.stale_reads == 0
    assert (await store.read_prefix("servers/", allow_stale=True)).ok_value.items
    assert service.stale_reads == 1


async def test_watch_returns_the_last_state_of_each_key(service, store):
    revision = await service.put("a/1", b"old")
    await service.put("a/2", b"gone")
    await service.put("a/1", b"new")
    await service.remove("a/2")
    changes = (await store.watch_prefix("a/", revision, 0.1)).ok_value
    assert [(item.key, item.value) for item in changes.items] == [("a/1", b"new")]
    assert changes.deleted == ("a/2",)
    assert changes.revision == service.revision


async def test_watch_waits_for_a_change(service, store):
    revision = await service.put("a/1", b"old")
    watch = asyncio.create_task(store.watch_prefix("a/", revision, 2.0))
    await asyncio.sleep(0.05)
    await service.put("a/1", b"new")
    assert (await watch).ok_value.items[0].value == b"new"


async def test_watch_reports_a_lost_history(service, store):
    revision = await service.put("a/1", b"old")
    await service.put("a/1", b"new")
    await service.drop_history()
    assert await store.watch_prefix("a/", revision, 0.1) == Ok(None)


async def test_writes_are_conditional(service, store):
    lease = (await store.grant_lease(5.0)).ok_value
    first = (await store.write(StoreWrite("k", b"1", lease, 0))).ok_value
    assert first == (await store.read_key("k")).ok_value.revision
    assert await store.write(StoreWrite("k", b"2", lease, 0)) == Ok(None)
    assert await store.delete("k", first + 1) == Ok(False)
    assert await store.delete("k", first) == Ok(True)
    assert await store.read_key("k") == Ok(None)


async def test_write_with_an_expired_lease_is_not_made(service, store):
    assert await store.write(StoreWrite("k", b"1", 999, 0)) == Ok(None)
    assert await store.renew_lease(999) == Ok(False)


@pytest.mark.parametrize("status", [429, 503])
async def test_rejected_call_has_no_effect(service, store, status):
    service.faults.status = status
    response = await store.write(StoreWrite("k", b"1", 0, 0))
    assert response.err_value.kind is StoreErrorKind.REFUSED
    assert "k" not in service.items


async def test_lost_response_leaves_the_outcome_unknown(service, store):
    service.faults.lose_answers = 1
    response = await store.write(StoreWrite("k", b"1", 0, 0))
    assert response.err_value.kind is StoreErrorKind.UNKNOWN
    assert "k" in service.items


async def test_stopped_store_gives_an_error(service, store):
    await service.stop()
    assert isinstance(await store.read_prefix(""), Err)


async def test_promotion_lease_has_one_holder_and_increasing_tokens(service, store):
    first = await acquire_promotion_lease(store, "g", "proxy-1")
    assert await acquire_promotion_lease(store, "g", "proxy-2") is None
    assert first.is_held
    await release_promotion_lease(store, first)
    second = await acquire_promotion_lease(store, "g", "proxy-2")
    assert second.fencing_token > first.fencing_token


async def test_promotion_lease_is_held_although_the_response_was_lost(service, store):
    service.faults.lose_answers = 1
    lease = await acquire_promotion_lease(store, "g", "proxy-1")
    assert lease.fencing_token == service.items["ebonyrack/promotion/g"].revision


async def test_promotion_lease_of_a_dead_holder_expires(service, store, monkeypatch):
    monkeypatch.setattr("ebonyrack.promotion.lease.LEASE_TTL_S", 0.2)
    monkeypatch.setattr("ebonyrack.promotion.lease.HOLD_LIMIT_S", 0.1)
    first = await acquire_promotion_lease(store, "g", "proxy-1")
    await asyncio.sleep(0.4)
    assert not first.is_held
    assert await acquire_promotion_lease(store, "g", "proxy-2") is not None
