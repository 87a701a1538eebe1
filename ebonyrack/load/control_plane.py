"""Measures how edits propagate, what a proxy costs and how it adapts to a lost peer."""

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
from ebonyrack.load.control_host import build_peer_address
from ebonyrack.load.record import find_quantile
from ebonyrack.load.results import Row
from ebonyrack.ops.client import ProxyAccess
from ebonyrack.ops.document_access import DirectDocument
from ebonyrack.ops.document_access import ProxyDocument
from ebonyrack.standins.control_plane import SECRET
from ebonyrack.store.consul_store import ConsulStore

OPERATOR = "measure"
POLL_INTERVAL_S = 0.02
CONDITION_TIMEOUT_S = 60.0
IDLE_WARM_UP_S = 3.0
EDIT_PAUSE_S = 0.3
EDIT_TIMEOUT_S = 10.0
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
        nodes: Number of proxies, including the one that is killed.
        groups: Number of database groups in the document.
        logs: Output file of each host process that keeps running.
        victim_log: Output file of the process that is killed at the end.
        edits: Number of edits to time.
        idle_s: Length of the window without edits, in seconds.
        events: Events read so far.
        offsets: Number of bytes read so far from each file.
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
        """Read the events that the hosts have printed since the last call."""
        for path in (*self.logs, self.victim_log):
            with path.open("rb") as file:
                file.seek(self.offsets.get(path, 0))
                for line in file:
                    if not line.endswith(b"\n"):
                        break
                    self.offsets[path] = self.offsets.get(path, 0) + len(line)
                    self.events.append({**json.loads(line), "log": path})

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Read events until a condition holds.

        Raises:
            TimeoutError: If it does not hold within `CONDITION_TIMEOUT_S`.
        """
        async with asyncio.timeout(CONDITION_TIMEOUT_S):
            while True:
                self.read_events()
                if condition():
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    def collect_last_values(self, event: str, key: str) -> dict[str, Any]:
        """Return the last value of an event's field for each proxy."""
        return {
            line["proxy"]: line[key] for line in self.events if line["event"] == event
        }

    def count_proxies_at_least(self, event: str, key: str, value: int) -> int:
        """Return the number of proxies whose last value is at least the given one."""
        last_values = self.collect_last_values(event, key).values()
        return sum(1 for last_value in last_values if last_value >= value)


def build_document_text(groups: int, slots: int) -> str:
    """Build a document; edits differ in the `slots` of its first group."""
    sections = [
        GROUP_TEXT.format(number=number, high=number // 250, low=number % 250)
        for number in range(groups)
    ]
    sections[0] = sections[0].replace("slots = 3", f"slots = {slots}")
    return "".join(sections)


async def run_measurement(measurement: Measurement) -> list[Row]:
    """Run the measurement and return its row."""
    await measurement.wait_for(
        lambda: (
            measurement.count_proxies_at_least("shares", "count", measurement.nodes)
            == measurement.nodes
        )
    )
    await put_first_document(measurement)
    await measurement.wait_for(
        lambda: (
            measurement.count_proxies_at_least("in_force", "revision", 1)
            == measurement.nodes
        )
    )
    await asyncio.sleep(IDLE_WARM_UP_S)
    idle_from_s = now_s()
    await asyncio.sleep(measurement.idle_s)
    measurement.read_events()
    idle = measure_usage(measurement, idle_from_s, now_s())
    busy_from_s = now_s()
    edit_delays_s = await time_edits(measurement)
    busy = measure_usage(measurement, busy_from_s, now_s())
    share_delays_s = await time_share_updates(measurement)
    return [build_row(measurement, idle, busy, edit_delays_s, share_delays_s)]


async def put_first_document(measurement: Measurement) -> None:
    """Write the first document into the empty store."""
    settings = StoreSettings.model_validate({"address": measurement.store})
    text = build_document_text(measurement.groups, 3)
    edit = build_edit(uuid.uuid4().hex, OPERATOR, StoredDocument(0, "", ()), text)
    async with ConsulStore(settings) as store:
        reply = await DirectDocument(store).change(edit, EDIT_TIMEOUT_S)
    if reply.outcome != "accepted":
        raise OSError(f"the first document was not accepted: {reply.reasons}")


async def time_edits(measurement: Measurement) -> list[float]:
    """Make edits through one proxy after another and time how each propagates.

    Returns:
        For each edit the seconds between the first and the last proxy to apply it.
    """
    edit_delays_s = []
    text = build_document_text(measurement.groups, 3)
    for number in range(measurement.edits):
        base = StoredDocument(number + 1, text, ())
        text = build_document_text(measurement.groups, 4 + number)
        edit = build_edit(uuid.uuid4().hex, OPERATOR, base, text)
        address = build_peer_address(
            measurement.listen_ip, number % (measurement.nodes - 1)
        )
        access = ProxyAccess((address,), SECRET, OPERATOR, "", EDIT_TIMEOUT_S)
        reply = await ProxyDocument(access).change(edit, EDIT_TIMEOUT_S)
        if reply.outcome != "accepted":
            raise OSError(f"edit {number} was not accepted: {reply.reasons}")
        edit_delays_s.append(await time_propagation(measurement, reply.revision))
        await asyncio.sleep(EDIT_PAUSE_S)
    return edit_delays_s


async def time_propagation(measurement: Measurement, revision: int) -> float:
    """Return the seconds between the first and the last proxy to apply a revision."""
    await measurement.wait_for(
        lambda: (
            measurement.count_proxies_at_least("in_force", "revision", revision)
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
    """Return the mean resource usage of a proxy per second within a window.

    Args:
        measurement: The running measurement.
        from_s: Monotonic time at which the window begins.
        to_s: Monotonic time at which the window ends.
    """
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


async def time_share_updates(measurement: Measurement) -> list[float]:
    """Kill one proxy; return the seconds until each other proxy updates its shares."""
    measurement.read_events()
    started = next(
        line
        for line in measurement.events
        if line["event"] == "started" and line["log"] == measurement.victim_log
    )
    killed_s = now_s()
    os.kill(started["pid"], signal.SIGKILL)
    remaining = measurement.nodes - 1

    def find_update_times() -> dict[str, float]:
        return {
            line["proxy"]: line["at_s"] - killed_s
            for line in measurement.events
            if line["event"] == "shares"
            and line["count"] == remaining
            and line["at_s"] > killed_s
        }

    await measurement.wait_for(lambda: len(find_update_times()) == remaining)
    return list(find_update_times().values())


def build_row(
    measurement: Measurement,
    idle: dict[str, float],
    busy: dict[str, float],
    edit_delays_s: list[float],
    share_delays_s: list[float],
) -> Row:
    """Build the result row of a measurement."""
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
        "edits": len(edit_delays_s),
        "in_force_median_s": find_quantile(edit_delays_s, 0.5),
        "in_force_p99_s": find_quantile(edit_delays_s, 0.99),
        "in_force_max_s": max(edit_delays_s),
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
        "shares_median_s": find_quantile(share_delays_s, 0.5),
        "shares_max_s": max(share_delays_s),
    }
