"""Measures the control plane: spread of edits, cost of a node, shares after a death."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

from ebonyrack.config.edit import build_edit
from ebonyrack.config.stored import StoredDocument
from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.settings import StoreSettings
from ebonyrack.load.control_host import find_address
from ebonyrack.load.record import find_quantile
from ebonyrack.load.results import Row
from ebonyrack.ops.client import ProxyAccess
from ebonyrack.ops.document_access import DirectDocument
from ebonyrack.ops.document_access import ProxyDocument
from ebonyrack.standins.control_plane import SECRET
from ebonyrack.store.consul_store import ConsulStore

OPERATOR = "measure"
POLL_S = 0.02
LIMIT_S = 60.0
IDLE_WARM_UP_S = 3.0
EDIT_PAUSE_S = 0.3
EDIT_LIMIT_S = 10.0
USAGE_FIELDS = ("bytes_sent", "bytes_received", "messages_sent", "store_calls")

GROUP_TEXT = """[group group-{number}]
owner = databases
upstreams = up-{number}-1=10.{high}.{low}.1:5432@dc-0
    up-{number}-2=10.{high}.{low}.2:5432@dc-1
    up-{number}-3=10.{high}.{low}.3:5432@dc-2
slots = 3
"""


@dataclass(slots=True)
class Measurement:
    """One run against hosted proxies.

    Attributes:
        store: Address of the platform's store.
        listen_ip: IP address at which the proxies listen.
        nodes: Number of proxies, the victim included.
        groups: Database groups in the document.
        logs: Output of each host process.
        victim_log: Output of the process that is killed at the end.
        edits: Edits that are timed.
        idle_s: Length of the window without edits, in seconds.
        events: Lines read so far.
        offsets: Bytes read so far of each log.
    """

    store: Address
    listen_ip: str
    nodes: int
    groups: int
    logs: tuple[Path, ...]
    victim_log: Path
    edits: int
    idle_s: float
    events: list[dict[str, Any]] = field(default_factory=list)
    offsets: dict[Path, int] = field(default_factory=dict)

    def read_events(self) -> None:
        """Read what the hosts have told since the last time."""
        for path in (*self.logs, self.victim_log):
            with path.open("rb") as file:
                file.seek(self.offsets.get(path, 0))
                for line in file:
                    if not line.endswith(b"\n"):
                        break
                    self.offsets[path] = self.offsets.get(path, 0) + len(line)
                    self.events.append({**json.loads(line), "log": path})

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Read events until a condition holds."""
        async with asyncio.timeout(LIMIT_S):
            while True:
                self.read_events()
                if condition():
                    return
                await asyncio.sleep(POLL_S)

    def find_last(self, event: str, key: str) -> dict[str, Any]:
        """Return the last value of a key that each proxy told in an event."""
        return {
            line["proxy"]: line[key] for line in self.events if line["event"] == event
        }

    def count_at_least(self, event: str, key: str, value: int) -> int:
        """Return how many proxies last told at least a value."""
        last = self.find_last(event, key).values()
        return sum(1 for told in last if told >= value)


def build_text(groups: int, slots: int) -> str:
    """Build a document; `slots` of its first group tells one edit from another."""
    parts = [
        GROUP_TEXT.format(number=number, high=number // 250, low=number % 250)
        for number in range(groups)
    ]
    parts[0] = parts[0].replace("slots = 3", f"slots = {slots}")
    return "".join(parts)


async def run_measurement(measurement: Measurement) -> list[Row]:
    """Measure one size and return its row."""
    await measurement.wait_for(
        lambda: (
            measurement.count_at_least("shares", "count", measurement.nodes)
            == measurement.nodes
        )
    )
    await put_first(measurement)
    await measurement.wait_for(
        lambda: (
            measurement.count_at_least("in_force", "revision", 1) == measurement.nodes
        )
    )
    await asyncio.sleep(IDLE_WARM_UP_S)
    idle_from_s = now_s()
    await asyncio.sleep(measurement.idle_s)
    measurement.read_events()
    idle = measure_usage(measurement, idle_from_s, now_s())
    busy_from_s = now_s()
    delays = await time_edits(measurement)
    busy = measure_usage(measurement, busy_from_s, now_s())
    shares = await time_death(measurement)
    return [build_row(measurement, idle, busy, delays, shares)]


async def put_first(measurement: Measurement) -> None:
    """Put the first document into the empty store."""
    settings = StoreSettings.model_validate({"address": measurement.store})
    text = build_text(measurement.groups, 3)
    edit = build_edit(uuid.uuid4().hex, OPERATOR, StoredDocument(0, "", ()), text)
    async with ConsulStore(settings) as store:
        reply = await DirectDocument(store).change(edit, EDIT_LIMIT_S)
    if reply.outcome != "accepted":
        raise OSError(f"the first document was not accepted: {reply.reasons}")


async def time_edits(measurement: Measurement) -> list[float]:
    """Make edits through one proxy after the other; time each until all run it.

    Returns:
        For each edit the seconds from its acceptance to the last proxy.
    """
    delays = []
    text = build_text(measurement.groups, 3)
    for number in range(measurement.edits):
        base = StoredDocument(number + 1, text, ())
        text = build_text(measurement.groups, 4 + number)
        edit = build_edit(uuid.uuid4().hex, OPERATOR, base, text)
        address = find_address(measurement.listen_ip, number % (measurement.nodes - 1))
        access = ProxyAccess((address,), SECRET, OPERATOR, "", EDIT_LIMIT_S)
        reply = await ProxyDocument(access).change(edit, EDIT_LIMIT_S)
        if reply.outcome != "accepted":
            raise OSError(f"edit {number} was not accepted: {reply.reasons}")
        delays.append(await time_spread(measurement, reply.revision))
        await asyncio.sleep(EDIT_PAUSE_S)
    return delays


async def time_spread(measurement: Measurement, revision: int) -> float:
    """Return the seconds between the first and the last proxy to run a revision."""
    await measurement.wait_for(
        lambda: (
            measurement.count_at_least("in_force", "revision", revision)
            == measurement.nodes
        )
    )
    times = [
        line["at_s"]
        for line in measurement.events
        if line["event"] == "in_force" and line["revision"] == revision
    ]
    return max(times) - min(times)


def measure_usage(
    measurement: Measurement, from_s: float, to_s: float
) -> dict[str, float]:
    """Return what one proxy used a second in a window, as a mean over all."""
    totals: dict[str, float] = dict.fromkeys((*USAGE_FIELDS, "processor_s"), 0.0)
    for path in measurement.logs:
        lines = [
            line
            for line in measurement.events
            if line["event"] == "usage"
            and line["log"] == path
            and from_s <= line["at_s"] <= to_s
        ]
        if len(lines) < 2:
            continue
        first, last = lines[0], lines[-1]
        seconds = last["at_s"] - first["at_s"]
        for name in totals:
            totals[name] += (last[name] - first[name]) / seconds
    count = measurement.nodes - 1
    return {name: total / count for name, total in totals.items()}


async def time_death(measurement: Measurement) -> list[float]:
    """Kill the victim; return the seconds until each other proxy divides anew."""
    measurement.read_events()
    started = next(
        line
        for line in measurement.events
        if line["event"] == "started" and line["log"] == measurement.victim_log
    )
    killed_s = now_s()
    os.kill(started["pid"], signal.SIGKILL)
    wanted = measurement.nodes - 1

    def find_times() -> dict[str, float]:
        return {
            line["proxy"]: line["at_s"] - killed_s
            for line in measurement.events
            if line["event"] == "shares"
            and line["count"] == wanted
            and line["at_s"] > killed_s
        }

    await measurement.wait_for(lambda: len(find_times()) == wanted)
    return list(find_times().values())


def build_row(
    measurement: Measurement,
    idle: dict[str, float],
    busy: dict[str, float],
    delays: list[float],
    shares: list[float],
) -> Row:
    """Build the row of one size."""
    usage = [
        line
        for line in measurement.events
        if line["event"] == "usage" and line["log"] in measurement.logs
    ]
    newest = {line["log"]: line for line in usage}
    hosted = max(line["proxies"] for line in newest.values())
    return {
        "nodes": measurement.nodes,
        "groups": measurement.groups,
        "edits": len(delays),
        "in_force_median_s": find_quantile(delays, 0.5),
        "in_force_p99_s": find_quantile(delays, 0.99),
        "in_force_max_s": max(delays),
        "idle_sent_B_s": idle["bytes_sent"],
        "idle_received_B_s": idle["bytes_received"],
        "idle_messages_s": idle["messages_sent"],
        "idle_processor_share": idle["processor_s"],
        "idle_store_calls_s": idle["store_calls"],
        "busy_sent_B_s": busy["bytes_sent"],
        "busy_received_B_s": busy["bytes_received"],
        "busy_processor_share": busy["processor_s"],
        "busy_store_calls_s": busy["store_calls"],
        "hosted_in_a_process": hosted,
        "resident_MiB": max(line["resident_bytes"] for line in newest.values()) / 2**20,
        "shares_median_s": find_quantile(shares, 0.5),
        "shares_max_s": max(shares),
    }
