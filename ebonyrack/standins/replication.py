"""Streams the log of a primary to its replicas as msgpack frames."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import msgpack
from pygwire.messages import StartupMessage

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.position import LogPosition
from ebonyrack.core.tasks import end_tasks
from ebonyrack.standins.log import LogEntry
from ebonyrack.standins.log import LoggedStatement
from ebonyrack.standins.log import TermRange

if TYPE_CHECKING:
    from ebonyrack.standins.upstream import StandinUpstream

REPLICA_PARAMETER = "ebonyrack_replica"
RECONNECT_DELAY_S = 0.05
HEARTBEAT_INTERVAL_S = 0.025
CONNECT_TIMEOUT_S = 1.0
BATCH_ENTRIES = 500
MAXIMUM_QUEUED_FRAMES = 10_000
READ_BYTES = 65536


def pack_entry(entry: LogEntry) -> list[Any]:
    """Encode a log entry as a msgpack value."""
    statements = [[item.sql, list(item.values)] for item in entry.statements]
    return [entry.position.term, entry.position.offset, entry.time_us, statements]


def unpack_entry(value: list[Any]) -> LogEntry:
    """Decode a log entry from a msgpack value."""
    term, offset, time_us, statements = value
    logged = tuple(LoggedStatement(sql, tuple(values)) for sql, values in statements)
    return LogEntry(LogPosition(term, offset), time_us, logged)


class FrameReader:
    """Reads msgpack values from a stream."""

    __slots__ = ("reader", "unpacker")

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader = reader
        self.unpacker = msgpack.Unpacker(use_list=True)

    async def read(self) -> Any:
        """Return the next value.

        Raises:
            ConnectionError: If the stream ends.
        """
        while True:
            for value in self.unpacker:
                return value
            data = await self.reader.read(READ_BYTES)
            if not data:
                raise ConnectionError("replication stream ended")
            self.unpacker.feed(data)


class LogSender:
    """Sends the log to one replica while this upstream is primary."""

    __slots__ = ("upstream", "frames", "writer", "replica_name")

    def __init__(
        self,
        upstream: StandinUpstream,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        replica_name: str,
    ) -> None:
        self.upstream = upstream
        self.frames = FrameReader(reader)
        self.writer = writer
        self.replica_name = replica_name

    async def run(self) -> None:
        """Find the common prefix of both logs, then send the entries after it."""
        upstream = self.upstream
        term, ranges = await self.frames.read()
        if not upstream.can_write or upstream.term != term:
            return
        offset = upstream.log.find_common_offset(
            [TermRange(*fields) for fields in ranges]
        )
        await self.send(["start", offset])
        while upstream.can_write and upstream.term == term:
            appended = upstream.appended
            entries = upstream.log.entries[offset : offset + BATCH_ENTRIES]
            if not entries:
                await self.wait_or_send_heartbeat(appended)
                continue
            await self.send(["entries", [pack_entry(entry) for entry in entries]])
            offset += len(entries)

    async def wait_or_send_heartbeat(self, appended: asyncio.Event) -> None:
        """Wait for a new entry; send a heartbeat if none comes in time."""
        try:
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                await appended.wait()
        except TimeoutError:
            await self.send(["heartbeat", 0])

    async def send(self, frame: list[Any]) -> None:
        """Send one frame once the link to the replica is open."""
        await self.upstream.faults.wait_sendable(self.replica_name)
        self.writer.write(msgpack.packb(frame))
        await self.writer.drain()


class LogFollower:
    """Receives the log of a primary and applies it, with a delay for each step.

    Attributes:
        upstream: The replica.
        term: Term of the primary.
        primary: Address of the primary.
        tasks: Tasks that receive and apply.
        arrived: Frames that arrived, with the monotonic time at which they are stored.
        due: Stored positions, with the monotonic time at which they are applied.
    """

    __slots__ = ("upstream", "term", "primary", "tasks", "arrived", "due")

    def __init__(self, upstream: StandinUpstream, term: int, primary: Address) -> None:
        self.upstream = upstream
        self.term = term
        self.primary = primary
        self.tasks: list[asyncio.Task[None]] = []
        self.arrived: asyncio.Queue[tuple[float, list[Any]]] = asyncio.Queue(
            MAXIMUM_QUEUED_FRAMES
        )
        self.due: asyncio.Queue[tuple[float, LogPosition]] = asyncio.Queue(
            MAXIMUM_QUEUED_FRAMES
        )

    def start(self) -> None:
        """Start the tasks that receive and apply entries."""
        self.tasks = [
            asyncio.create_task(self.receive()),
            asyncio.create_task(self.apply_entries()),
        ]

    async def stop(self) -> None:
        """Stop both tasks; received entries stay in the log."""
        await end_tasks(self.tasks)

    async def receive(self) -> None:
        """Receive the primary's log, reconnecting after each lost connection."""
        while True:
            try:
                await self.receive_until_lost()
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def receive_until_lost(self) -> None:
        """Receive the primary's log over one connection until it is lost."""
        peer = self.upstream.peer_names.get(self.primary, "")
        await self.upstream.faults.wait_sendable(peer)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                self.primary.host, self.primary.port
            )
        store_task = asyncio.create_task(self.store_frames())
        try:
            self.send_startup(writer)
            frames = FrameReader(reader)
            while True:
                frame = await frames.read()
                await self.upstream.faults.wait_receivable(peer)
                due_s = now_s() + self.upstream.options.receive_delay_s
                await self.arrived.put((due_s, frame))
        finally:
            store_task.cancel()
            await asyncio.gather(store_task, return_exceptions=True)
            self.arrived = asyncio.Queue(MAXIMUM_QUEUED_FRAMES)
            writer.transport.abort()

    def send_startup(self, writer: asyncio.StreamWriter) -> None:
        """Send this replica's name, the primary's term and the local log's ranges."""
        startup = StartupMessage(params={REPLICA_PARAMETER: self.upstream.name})
        ranges = [
            [item.term, item.first, item.last] for item in self.upstream.log.ranges
        ]
        writer.write(startup.to_wire() + msgpack.packb([self.term, ranges]))

    async def store_frames(self) -> None:
        """Store each arrived frame in the log once its delay is over."""
        while True:
            due_s, frame = await self.arrived.get()
            await sleep_until(due_s)
            self.upstream.last_primary_contact_s = now_s()
            kind, content = frame
            if kind == "start":
                self.truncate_log(content)
            elif kind == "entries":
                await self.store_entries(content)

    async def store_entries(self, values: list[Any]) -> None:
        """Append entries to the log and schedule when each is applied."""
        for value in values:
            entry = unpack_entry(value)
            self.upstream.append(entry)
            apply_s = now_s() + self.upstream.options.apply_delay_s
            await self.due.put((apply_s, entry.position))

    def truncate_log(self, offset: int) -> None:
        """Drop entries that the primary doesn't have."""
        if offset < len(self.upstream.log.entries):
            self.upstream.rebuild(offset)
            while not self.due.empty():
                self.due.get_nowait()
        elif self.due.empty():
            self.upstream.apply_received(self.upstream.log.last)

    async def apply_entries(self) -> None:
        """Apply each stored entry once its delay is over."""
        while True:
            due_s, position = await self.due.get()
            await sleep_until(due_s)
            await self.upstream.faults.wait_receivable("")
            self.upstream.apply_received(position)


async def sleep_until(due_s: float) -> None:
    """Sleep until a monotonic time, in seconds."""
    delay_s = due_s - now_s()
    if delay_s > 0:
        await asyncio.sleep(delay_s)
