import asyncio
import base64

import aiohttp
import httpcore
import pytest

from ebonyrack.standins.platform import StandinPlatform


async def call(session, platform, method, path, **options):
    url = f"http://{platform.address}{path}"
    async with session.request(method, url, **options) as response:
        body = await response.text()
        data = await response.json() if body and response.status == 200 else None
        return response.status, response.headers, data


async def put(session, platform, path, data=b"", **options):
    status, _, result = await call(session, platform, "PUT", path, data=data, **options)
    assert status == 200
    return result


async def get(session, platform, path):
    status, headers, data = await call(session, platform, "GET", path)
    index = int(headers["X-Consul-Index"])
    value = base64.b64decode(data[0]["Value"]) if status == 200 else None
    return index, value


async def test_compare_and_swap_accepts_only_one_writer():
    async with StandinPlatform() as platform, aiohttp.ClientSession() as session:
        assert await get(session, platform, "/v1/kv/a/b") == (1, None)
        assert await put(session, platform, "/v1/kv/a/b?cas=0", b"one") is True
        assert await put(session, platform, "/v1/kv/a/b?cas=0", b"two") is False
        index, value = await get(session, platform, "/v1/kv/a/b")
        assert value == b"one"
        assert await put(session, platform, f"/v1/kv/a/b?cas={index}", b"two") is True
        assert await put(session, platform, f"/v1/kv/a/b?cas={index}", b"x") is False
        assert platform.calls == {"get": 2, "cas": 4}


async def test_blocking_query_returns_at_a_change_and_counts_as_one_call():
    async with StandinPlatform() as platform, aiohttp.ClientSession() as session:
        await put(session, platform, "/v1/kv/k", b"one")
        index, _ = await get(session, platform, "/v1/kv/k")
        path = f"/v1/kv/k?index={index}&wait=60s"
        watch = asyncio.create_task(get(session, platform, path))
        while not platform.calls["watch_get"]:
            await asyncio.sleep(0.001)
        await put(session, platform, "/v1/kv/other", b"x")
        assert not watch.done()
        await put(session, platform, "/v1/kv/k", b"two")
        new_index, value = await watch
        assert value == b"two" and new_index > index
        assert platform.calls["watch_get"] == 1
        path = f"/v1/kv/k?index={new_index}&wait=10ms"
        assert await get(session, platform, path) == (new_index, b"two")


@pytest.mark.parametrize("behaviour", ["release", "delete"])
async def test_expired_lease_releases_or_deletes_its_key(behaviour):
    async with StandinPlatform() as platform, aiohttp.ClientSession() as session:
        ids = []
        for _ in range(2):
            body = {"TTL": "10s", "Behavior": behaviour, "LockDelay": "0s"}
            created = await put(
                session, platform, "/v1/session/create", data=None, json=body
            )
            ids.append(created["ID"])
        first, second = ids
        assert await put(session, platform, f"/v1/kv/k?acquire={first}", b"1") is True
        assert await put(session, platform, f"/v1/kv/k?acquire={second}", b"2") is False
        await put(session, platform, f"/v1/session/renew/{first}")
        platform.state.sessions[first].expires_at_s = 0.0
        platform.state.expire_sessions()
        expected = None if behaviour == "delete" else b"1"
        assert (await get(session, platform, "/v1/kv/k"))[1] == expected
        assert await put(session, platform, f"/v1/kv/k?acquire={second}", b"2") is True
        assert await put(session, platform, f"/v1/kv/k?release={first}") is False
        status, _, _ = await call(
            session, platform, "PUT", f"/v1/session/renew/{first}"
        )
        assert status == 404


async def test_blocking_query_returns_a_changed_vm_list():
    async with StandinPlatform() as platform, aiohttp.ClientSession() as session:
        path = f"/v1/catalog/nodes?index={platform.state.nodes_index}&wait=60s"
        watch = asyncio.create_task(call(session, platform, "GET", path))
        while not platform.calls["watch_nodes"]:
            await asyncio.sleep(0.001)
        node = {
            "name": "up-1",
            "address": "127.0.0.1",
            "data_centre": "dc-1",
            "state": "leaving",
        }
        await put(session, platform, "/standin/nodes", data=None, json=[node])
        _, _, nodes = await watch
        assert [(item["Node"], item["Meta"]) for item in nodes] == [
            ("up-1", {"state": "leaving"})
        ]


async def test_lost_reply_leaves_the_change_in_effect():
    async with StandinPlatform() as platform, aiohttp.ClientSession() as session:
        platform.lose_answers = 1
        url = f"http://{platform.address}/v1/kv/k?cas=0"
        # aiohttp's client would retry the PUT by itself.
        async with httpcore.AsyncConnectionPool() as pool:
            with pytest.raises((httpcore.NetworkError, httpcore.ProtocolError)):
                await pool.request("PUT", url, content=b"one")
        assert (await get(session, platform, "/v1/kv/k"))[1] == b"one"


async def test_stale_read_returns_the_previous_value():
    async with StandinPlatform() as platform, aiohttp.ClientSession() as session:
        await put(session, platform, "/v1/kv/k", b"one")
        await put(session, platform, "/v1/kv/k", b"two")
        platform.stale_reads = 1
        assert (await get(session, platform, "/v1/kv/k"))[1] == b"one"
        assert (await get(session, platform, "/v1/kv/k"))[1] == b"two"


async def test_state_survives_a_restart_and_open_watches_fail():
    async with StandinPlatform() as platform, aiohttp.ClientSession() as session:
        await put(session, platform, "/v1/kv/k", b"one")
        index, _ = await get(session, platform, "/v1/kv/k")
        path = f"/v1/kv/k?index={index}&wait=60s"
        watch = asyncio.create_task(get(session, platform, path))
        while not platform.calls["watch_get"]:
            await asyncio.sleep(0.001)
        await platform.stop()
        with pytest.raises(aiohttp.ClientError):
            await watch
        with pytest.raises(aiohttp.ClientError):
            await get(session, platform, "/v1/kv/k")
        await platform.start()
        assert (await get(session, platform, "/v1/kv/k"))[1] == b"one"
        platform.is_down = True
        with pytest.raises(aiohttp.ClientError):
            await get(session, platform, "/v1/kv/k")
