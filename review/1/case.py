"""LOST: a healthy primary steps down for a replica that lacks its commits."""

from __future__ import annotations

import asyncio
from pathlib import Path

from standins.backends import HEARTBEAT_S
from standins.backends import Service
from standins.harness import HOST
from standins.harness import Caller
from standins.harness import NotRunError
from standins.harness import Proxy
from standins.harness import Recorder
from standins.harness import build_config
from standins.harness import has_trouble
from standins.harness import is_success
from standins.harness import run_case
from standins.store import Store

SERVICE = "huvo11a"
PRIMARY, NEAR, DEAF = "i-31b174c273", "i-7f3a91c2d0", "i-9e16b79e8c"
DATABASE = "lepu270"
TIMEOUT_MS = 2000
# A replica receives nothing for 6.5 s: the dose of the site.
DEAF_S = 6.5
COMMITS = 8
# Writers that start one after the other, so that some write always waits.
WRITERS = 8
WRITER_PAUSE_S = 0.1
WATCHED_S = 10.0


async def write(caller: Caller, item: str) -> bool:
    """Write an item; return whether it was acknowledged."""
    _, lines = await caller.query(f"WRITE {item} data")
    return is_success(lines)


async def write_forever(proxy: Proxy, number: int, log: Recorder) -> None:
    """Write through a proxy, one write after the other."""
    await asyncio.sleep(number * WRITER_PAUSE_S)
    count = 0
    while True:
        caller = Caller(proxy, DATABASE, log)
        if (await caller.open()).startswith("READY"):
            count += 1
            await write(caller, f"b{number}-{count}")
        caller.close()
        await asyncio.sleep(0.05)


async def play(scratch: Path, log: Recorder) -> bool:
    """Play the case; return whether the rule held."""
    store = Store(HOST, log)
    await store.start()
    service = Service(SERVICE, [PRIMARY, NEAR, DEAF], store, HOST, log)
    store.promote = service.promote
    await service.start()
    store.put("op/config", build_config(7, {DATABASE: "primary"}, SERVICE, TIMEOUT_MS))
    first = Proxy("front-se-mid-a-1", "bkk-a", store.port, scratch, log, False)
    second = Proxy("front-se-mid-b-1", "bkk-b", store.port, scratch, log, False)
    near, deaf = service.backends[NEAR], service.backends[DEAF]
    writers: list[asyncio.Task[None]] = []
    try:
        for proxy in (first, second):
            proxy.start()
        for proxy in (first, second):
            await proxy.wait_until_ready()
        # The proxies know the backends for longer than any change could last.
        await asyncio.sleep(14.0)
        sequence = near.sequence
        while near.sequence == sequence:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.9 * HEARTBEAT_S)
        if has_trouble():
            deaf.is_deaf = True
            log(f"{DEAF} receives nothing from here on")
        started_s = log.elapsed_s
        caller = Caller(first, DATABASE, log)
        await caller.open()
        for number in range(COMMITS):
            if not await write(caller, f"a{number}"):
                raise NotRunError("a write failed before the loss")
        caller.close()
        if has_trouble():
            await near.stop()
            log(f"{NEAR} is lost for good")
        writers = [
            asyncio.create_task(write_forever(second, number, log))
            for number in range(WRITERS)
        ]
        while log.elapsed_s < started_s + WATCHED_S and not service.promoted:
            await asyncio.sleep(0.01)
            if deaf.is_deaf and log.elapsed_s >= started_s + DEAF_S:
                deaf.is_deaf = False
                service.replicate()
                log(f"{DEAF} receives again")
        for member, lost in service.promoted:
            log(f"promoted: {member}, without the acknowledged commits {lost}")
        return not any(lost for _, lost in service.promoted)
    finally:
        for task in writers:
            task.cancel()
        await asyncio.gather(*writers, return_exceptions=True)
        for proxy in (first, second):
            proxy.kill()
        await service.stop()
        await store.stop()


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
