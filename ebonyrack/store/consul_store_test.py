import asyncio

import pytest
from result import Ok

from ebonyrack.core.settings import StoreSettings
from ebonyrack.standins.key_value import Node
from ebonyrack.standins.platform import StandinPlatform
from ebonyrack.store.consul_store import MAXIMUM_VALUE_BYTES
from ebonyrack.store.consul_store import ConsulStore
from ebonyrack.store.store_response import StoreErrorKind
from ebonyrack.store.vm_list import VmList


def open_store(address, **options):
    values = {"address": address, "timeout_s": 0.3, "maximum_calls_per_s": 100}
    return ConsulStore(StoreSettings.model_validate(values | options))


@pytest.fixture
async def platform():
    async with StandinPlatform() as made:
        yield made


@pytest.fixture
async def store(platform):
    async with open_store(platform.address) as made:
        yield made


async def test_a_value_can_be_read_swapped_and_watched(platform, store):
    assert await store.get("a/b") == Ok(None)
    assert await store.compare_and_swap("a/b", b"one\x00", 0) == Ok(True)
    assert await store.compare_and_swap("a/b", b"two", 0) == Ok(False)
    found = (await store.get("a/b")).ok_value
    assert found.value == b"one\x00"
    watch = asyncio.create_task(store.watch("a/b", found.index, 20.0))
    while not platform.calls["watch_get"]:
        await asyncio.sleep(0.001)
    assert await store.compare_and_swap("a/b", b"two", found.index) == Ok(True)
    assert (await watch).ok_value.value == b"two"
    assert store.calls == {"get": 2, "swap": 3, "watch": 1}


@pytest.mark.parametrize("method", ["get", "swap", "watch"])
@pytest.mark.parametrize(
    "fault, kind",
    [
        ("stopped", StoreErrorKind.UNREACHABLE),
        ("is_down", StoreErrorKind.UNKNOWN),
        ("delay_s", StoreErrorKind.UNKNOWN),
    ],
)
async def test_a_failed_call_reports_whether_it_may_have_taken_effect(
    platform, store, method, fault, kind
):
    if fault == "stopped":
        await platform.stop()
    else:
        setattr(platform, fault, 30.0)
    calls = {
        "get": lambda: store.get("k"),
        "swap": lambda: store.compare_and_swap("k", b"v", 0),
        "watch": lambda: store.watch("k", 5, 0.1),
    }
    async with asyncio.timeout(10):
        result = await calls[method]()
    assert result.err_value.kind == kind
    assert store.answered_at_s is None


async def test_a_swap_whose_response_is_lost_is_unknown(platform, store):
    platform.lose_answers = 1
    result = await store.compare_and_swap("k", b"v", 0)
    assert result.err_value.kind == StoreErrorKind.UNKNOWN
    assert (await store.get("k")).ok_value.value == b"v"


async def test_a_cancelled_call_leaves_the_store_usable(platform, store):
    await store.compare_and_swap("k", b"v", 0)
    index = (await store.get("k")).ok_value.index
    for _ in range(8):
        before = platform.calls["watch_get"]
        watch = asyncio.create_task(store.watch("k", index, 60.0))
        while platform.calls["watch_get"] == before:
            await asyncio.sleep(0.001)
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
    assert (await store.get("k")).ok_value.value == b"v"


async def test_calls_beyond_the_rate_limit_fail(platform):
    async with open_store(platform.address, maximum_calls_per_s=1) as store:
        results = [await store.get("k") for _ in range(6)]
    refused = [result for result in results if not isinstance(result, Ok)]
    assert refused
    assert {result.err_value.kind for result in refused} == {StoreErrorKind.UNREACHABLE}
    assert platform.calls["get"] == len(results) - len(refused)


async def test_a_value_that_is_too_large_is_rejected(platform, store):
    value = b"x" * (MAXIMUM_VALUE_BYTES + 1)
    result = await store.compare_and_swap("k", value, 0)
    assert result.err_value.kind == StoreErrorKind.REFUSED
    assert platform.calls.total() == 0


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
        b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n[{",
        b"SSH-2.0-OpenSSH\r\n",
        b"",
    ],
)
async def test_a_malformed_response_is_unknown(response):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        async with open_store(f"{host}:{port}") as store:
            for result in (
                await store.get("k"),
                await store.compare_and_swap("k", b"v", 0),
            ):
                assert result.err_value.kind == StoreErrorKind.UNKNOWN


async def test_the_vm_list_contains_the_leaving_vms(platform, store):
    vm_list = VmList(store)
    nodes = [Node("up-1", "127.0.0.1", "dc-1"), Node("up-2", "127.0.0.1", "dc-1")]
    platform.state.set_nodes(nodes)
    assert (await vm_list.watch(1.0)).ok_value.leaving == frozenset()
    nodes[1].state = "leaving"
    platform.state.set_nodes(nodes)
    await vm_list.watch(20.0)
    assert vm_list.leaving == {"up-2"}
