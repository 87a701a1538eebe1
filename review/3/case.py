"""RECOVER: one unreadable entry in the store, and restarted proxies serve nothing."""

from __future__ import annotations

import asyncio
import itertools
import time
from pathlib import Path

from standins.backends import Service
from standins.harness import HOST
from standins.harness import Caller
from standins.harness import Proxy
from standins.harness import Recorder
from standins.harness import build_config
from standins.harness import has_trouble
from standins.harness import is_success
from standins.harness import run_case
from standins.store import Store

SERVICE = "huvo11a"
MEMBERS = ["i-31b174c273", "i-7f3a91c2d0", "i-9e16b79e8c"]
DATABASES = {
    "lepu270": "primary",
    "fiti832ti23": "read_your_writes",
    "xapu221ny95": "bounded_staleness",
}
ZONES = ["bkk-a", "bkk-b", "nonthaburi"]
# The entry of another writer: 2,000 opening brackets are no JSON that can be read.
FOREIGN_KEY = "servers/agent-1"
FOREIGN_VALUE = b"[" * 2000
BEFORE_S = 5.0
DOWN_S = 1.0
# `recoveryS` of the deployment, and a margin for the start of the processes.
RECOVERY_S = 12.0
START_MARGIN_S = 2.0
AFTER_S = 8.0
PAUSE_S = 0.05
SERVED_SHARE = 0.25


async def play_traffic(proxies: list[Proxy], length_s: float, log: Recorder) -> float:
    """Send operations through all proxies; return the share that is served."""
    end_s = time.monotonic() + length_s
    asked = served = 0
    numbers = itertools.count()

    async def operate(proxy: Proxy, database: str) -> bool:
        caller = Caller(proxy, database, log)
        opened = await caller.open()
        try:
            if not opened.startswith("READY"):
                log(f"{proxy.name} {database}: {opened}")
                return False
            number = next(numbers)
            text = f"WRITE {number % 20:x} data" if number % 3 == 0 else "READ 1a4"
            _, lines = await caller.query(text)
            return is_success(lines)
        finally:
            caller.close()

    while time.monotonic() < end_s:
        results = await asyncio.gather(
            *(operate(proxy, name) for proxy in proxies for name in DATABASES)
        )
        asked += len(results)
        served += sum(results)
        await asyncio.sleep(PAUSE_S)
    return served / max(1, asked)


async def play(scratch: Path, log: Recorder) -> bool:
    """Play the case; return whether the rule held."""
    store = Store(HOST, log)
    await store.start()
    service = Service(SERVICE, MEMBERS, store, HOST, log)
    store.promote = service.promote
    await service.start()
    store.put("op/config", build_config(7, DATABASES, SERVICE))
    proxies = [
        Proxy(f"front-{zone}-1", zone, store.port, scratch, log) for zone in ZONES
    ]
    try:
        for proxy in proxies:
            proxy.start()
        for proxy in proxies:
            await proxy.wait_until_ready()
        before = await play_traffic(proxies, BEFORE_S, log)
        log(f"served before the final fault: {before:.3f}")
        if has_trouble():
            store.put(FOREIGN_KEY, FOREIGN_VALUE)
            log(f"another writer wrote {FOREIGN_KEY}: {len(FOREIGN_VALUE)} bytes")
        for proxy in proxies:
            proxy.kill()
        await asyncio.sleep(DOWN_S)
        for proxy in proxies:
            proxy.start()
        await asyncio.sleep(RECOVERY_S + START_MARGIN_S)
        for proxy in proxies:
            log(f"{proxy.name}: /ready answers {await proxy.ask_ready()}")
        after = await play_traffic(proxies, AFTER_S, log)
        log(f"served later than {RECOVERY_S} s after the restart: {after:.3f}")
        return before < SERVED_SHARE or after >= SERVED_SHARE
    finally:
        for proxy in proxies:
            proxy.kill()
        await service.stop()
        await store.stop()


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
