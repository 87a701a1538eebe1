"""CONFIG: a watch whose response was lost hides new versions after the outage."""

from __future__ import annotations

import asyncio
from pathlib import Path

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
MEMBERS = ["i-31b174c273", "i-7f3a91c2d0", "i-9e16b79e8c"]
KEPT = {"lepu270": "primary", "fiti832ti23": "read_your_writes"}
ADDED = "xapu221ny95"
DROPPED = "rida77o"
FIRST_VERSION = {**KEPT, DROPPED: "primary"}
# Routes change their time-outs only; the change comes while the store gives no answer.
SECOND_VERSION = {**KEPT, DROPPED: "primary"}
THIRD_VERSION = {**KEPT, ADDED: "primary"}
# The site's store turns machines away for 9 s at most, and is silent for 6.4 s.
SILENT_S = 6.0
# `contactMs` of the deployment: from then on the machine is in touch again.
CONTACT_S = 4.0
CONTACT_MARGIN_S = 1.0
# `configApplyMs` of the deployment.
APPLY_S = 3.0
APPLY_MARGIN_S = 0.5
CHECKED_S = 4.0
LATEST_S = 25.0
PAUSE_S = 0.5


async def probe(proxy: Proxy, database: str, log: Recorder) -> str:
    """Send a read to a database; return `served` or what came instead."""
    caller = Caller(proxy, database, log)
    opened = await caller.open()
    try:
        if not opened.startswith("READY"):
            return opened.split(" ")[1] if opened.startswith("ERROR") else opened
        _, lines = await caller.query("READ 1a4")
        return "served" if is_success(lines) else str(lines)
    finally:
        caller.close()


async def play(scratch: Path, log: Recorder) -> bool:
    """Play the case; return whether the rule held."""
    store = Store(HOST, log)
    await store.start()
    service = Service(SERVICE, MEMBERS, store, HOST, log)
    store.promote = service.promote
    await service.start()
    store.put("op/config", build_config(7, FIRST_VERSION, SERVICE))
    proxy = Proxy("front-bkk-a-1", "bkk-a", store.port, scratch, log)
    try:
        proxy.start()
        await proxy.wait_until_ready()
        await asyncio.sleep(3.0)
        if await probe(proxy, DROPPED, log) != "served":
            raise NotRunError("the first version is not in force")
        if has_trouble():
            store.is_silent = True
            log("the store gives this machine no response from here on")
        await asyncio.sleep(SILENT_S / 2)
        store.put("op/config", build_config(12, SECOND_VERSION, SERVICE))
        log("version 12 acknowledged: the same routes")
        await asyncio.sleep(SILENT_S / 2)
        store.is_silent = False
        log(f"the store answers again; {store.lost_responses} responses were lost")
        await asyncio.sleep(CONTACT_S + CONTACT_MARGIN_S)
        store.put("op/config", build_config(15, THIRD_VERSION, SERVICE))
        acknowledged_s = log.elapsed_s
        log(f"version 15 acknowledged: adds {ADDED}, drops {DROPPED}")
        await asyncio.sleep(APPLY_S + APPLY_MARGIN_S)
        is_broken = False
        while log.elapsed_s < acknowledged_s + LATEST_S:
            after_s = log.elapsed_s - acknowledged_s
            added = await probe(proxy, ADDED, log)
            dropped = await probe(proxy, DROPPED, log)
            log(f"{after_s:.1f} s after: {ADDED} {added}, {DROPPED} {dropped}")
            if added == "NODB" or dropped == "served":
                is_broken = True
            elif after_s > APPLY_S + CHECKED_S:
                break
            await asyncio.sleep(PAUSE_S)
        return not is_broken
    finally:
        proxy.kill()
        await service.stop()
        await store.stop()


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
