"""Stand-in of a service: a primary and two replicas that speak the wire protocol."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from standins.store import Store

HEARTBEAT_S = 1.2
# The platform removes an entry after three heartbeat intervals of silence.
ENTRY_LIFETIME_S = 3 * HEARTBEAT_S
CHECK_S = 0.005
MAXIMUM_MESSAGE_BYTES = 1024 * 1024
WORK_S = 0.006
PROMOTE_S = 1.0

signatures = itertools.count(1)


@dataclass
class Record:
    """A read, write or commit that a backend ran."""

    time_s: float
    member: str
    request_id: str
    text: str


@dataclass
class WireSession:
    """Session of one connection to a backend."""

    state: str = "I"
    is_read_only: bool = False
    term: int = 0
    writes: list[tuple[str, str]] = field(default_factory=list)
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)


class RejectedError(Exception):
    """A statement that was rejected, with the code."""


class Backend:
    """One backend: the primary or a replica of a service."""

    def __init__(self, service: Service, member: str, zone: str) -> None:
        self.service = service
        self.member = member
        self.zone = zone
        self.is_primary = False
        self.is_draining = False
        self.is_running = False
        self.is_deaf = False
        self.beat_at_s = 0.0
        self.term = 1
        self.held_term = 0
        self.log: list[tuple[tuple[int, int], tuple[tuple[str, str], ...]]] = []
        self.sequence = 0
        self.port = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[Any]] = set()
        self.born_ms = round(time.time() * 1000)

    @property
    def position(self) -> tuple[int, int]:
        """Position of the log, as term and number."""
        return self.log[-1][0] if self.log else (1, 0)

    async def start(self) -> None:
        """Start to listen and to register."""
        self.server = await asyncio.start_server(
            self.serve, self.service.host, self.port, limit=2 * MAXIMUM_MESSAGE_BYTES
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_running = True
        self.tasks.add(asyncio.create_task(self.register()))

    async def stop(self) -> None:
        """Stop listening and close all connections, as a crash does."""
        self.is_running = False
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def register(self) -> None:
        """Write the heartbeat."""
        while True:
            self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def beat(self) -> None:
        """Write one heartbeat."""
        self.sequence += 1
        self.beat_at_s = time.monotonic()
        entry = {
            "service": self.service.name,
            "address": f"{self.service.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "phase": "draining" if self.is_draining else "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "dbRole": "primary" if self.is_primary else "replica",
            "born": self.born_ms,
        }
        self.service.store.put(f"servers/{self.member}", json.dumps(entry).encode())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            start = (await reader.readuntil(b"\r\n"))[:-2].decode().split(" ")
            wrong = len(start) > 3 and start[3] != self.member
            if start[0] != "STARTUP" or start[1] != self.service.name or wrong:
                writer.write(f"ERROR WRONGNODE {self.member}\r\n".encode())
                await writer.drain()
                return
            session = WireSession()
            writer.write(self.render_ready(session))
            while True:
                # A message ends with CR LF, and with nothing else.
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                word, request_id, text = line.split(" ", 2)
                if word != "QUERY":
                    return
                writer.write(await self.answer(session, request_id, text))
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    def render_ready(self, session: WireSession) -> bytes:
        """Return the line that ends a reply."""
        term, number = self.position
        return f"READY {session.state} {term}.{number}\r\n".encode()

    async def answer(self, session: WireSession, request_id: str, text: str) -> bytes:
        """Run a statement; return its reply."""
        try:
            rows, signature = await self.run(session, request_id, text)
        except RejectedError as error:
            if session.state == "T":
                session.state = "E"
            reply = f"ERROR {error} {self.member}\r\n".encode()
            return reply + self.render_ready(session)
        data = "".join(f"DATAROW {row}\r\n" for row in rows)
        reply = f"{data}COMPLETE {signature}\r\n".encode()
        return reply + self.render_ready(session)

    async def run(
        self, session: WireSession, request_id: str, text: str
    ) -> tuple[list[str], str]:
        """Run a statement; return its rows and its signature."""
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = position.split(".")
            if self.position < (int(term), int(number)):
                raise RejectedError("LAGGING")
        word, _, rest = text.partition(" ")
        if session.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            raise RejectedError("MALFORMED")
        rows: list[str] = []
        if word == "BEGIN":
            session.is_read_only = rest == "READ"
            if not session.is_read_only:
                self.check_lead(session)
            session.state, session.term, session.writes = "T", self.term, []
        elif word == "ROLLBACK":
            session.state, session.writes = "I", []
        elif word == "SET":
            name, _, value = rest.partition(" ")
            session.values[name] = value
        elif word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            session.prepared[name] = (kind, shape)
        elif word == "CLOSE":
            session.prepared.pop(rest, None)
        elif word == "DISCARD":
            session.values, session.prepared = {}, {}
        elif word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            rows = [self.run_control(word, rest)]
        else:
            rows = await self.run_work(session, request_id, text)
        has_id = request_id != "-"
        return rows, f"{next(signatures):x}.{self.member}" if has_id else "-"

    async def run_work(
        self, session: WireSession, request_id: str, text: str
    ) -> list[str]:
        """Run a read, write or commit."""
        word, _, rest = text.partition(" ")
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared:
                raise RejectedError("NOSTMT")
            word = session.prepared[name][0]
        if word not in ("READ", "WRITE", "COMMIT"):
            raise RejectedError("MALFORMED")
        is_plain = session.state == "T" and not session.is_read_only
        if word == "WRITE" or (is_plain and (word == "READ" or session.writes)):
            self.check_lead(session)
        await asyncio.sleep(WORK_S)
        self.service.records.append(
            Record(time.monotonic(), self.member, request_id, text)
        )
        if word == "READ":
            return [self.service.read(self, session.writes, rest)]
        if word == "WRITE":
            item, _, data = rest.partition(" ")
            if session.state == "T":
                session.writes.append((item, data))
            else:
                await self.service.commit(self, ((item, data),))
        else:
            if session.state != "T":
                raise RejectedError("MALFORMED")
            writes, session.writes, session.state = tuple(session.writes), [], "I"
            if writes:
                await self.service.commit(self, writes)
        return []

    def check_lead(self, session: WireSession) -> None:
        """Reject what only a primary runs."""
        is_lost = session.state == "T" and session.term != self.term
        if not self.is_primary or is_lost:
            raise RejectedError("READONLY")

    def run_control(self, word: str, rest: str) -> str:
        """Run a command of the system; return the row of the status."""
        if word == "PAUSE":
            self.held_term = int(rest)
        elif word == "RESUME":
            self.held_term = 0
            self.service.replicate()
        elif word == "STEPDOWN" and self.is_primary and self.term < int(rest):
            self.is_primary, self.term = False, int(rest)
        role = "primary" if self.is_primary else "replica"
        term, number = self.position
        connections = len(self.tasks)
        return f"{role} {self.term} {term}.{number} {self.held_term} 0 0 {connections}"


class Service:
    """A service: its backends, and what they ran."""

    def __init__(
        self,
        name: str,
        members: list[str],
        store: Store,
        host: str,
        log: Callable[[str], None],
    ) -> None:
        self.name = name
        self.store = store
        self.host = host
        self.log = log
        zones = ("bkk-a", "bkk-b", "nonthaburi")
        self.backends = {
            member: Backend(self, member, zones[index % len(zones)])
            for index, member in enumerate(members)
        }
        self.backends[members[0]].is_primary = True
        self.records: list[Record] = []
        self.acknowledged: list[
            tuple[float, tuple[tuple[int, int], tuple[tuple[str, str], ...]]]
        ] = []
        self.promoted: list[tuple[str, list[tuple[int, int]]]] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start all backends."""
        for backend in self.backends.values():
            await backend.start()
        self.tasks.add(asyncio.create_task(self.expire_entries()))

    async def stop(self) -> None:
        """Stop all backends."""
        for task in self.tasks:
            task.cancel()
        for backend in self.backends.values():
            await backend.stop()

    async def commit(
        self, primary: Backend, writes: tuple[tuple[str, str], ...]
    ) -> None:
        """Append a commit; return once a replica has received it.

        Raises:
            RejectedError: If the backend has lost the lead before that.
        """
        term, number = primary.term, primary.position[1] + 1
        entry = ((term, number), writes)
        primary.log.append(entry)
        self.replicate()
        while not any(
            entry in backend.log
            for backend in self.backends.values()
            if backend is not primary and backend.is_running
        ):
            if not primary.is_primary or primary.term != term:
                raise RejectedError("FAILED")
            await asyncio.sleep(CHECK_S)
            self.replicate()
        self.acknowledged.append((time.monotonic(), entry))

    def replicate(self) -> None:
        """Send the primary's log to the replicas that receive."""
        for primary in self.backends.values():
            if not primary.is_primary or not primary.is_running:
                continue
            for backend in self.backends.values():
                is_receiving = backend.is_running and not backend.is_deaf
                is_held = backend.held_term > primary.term
                if backend is not primary and is_receiving and not is_held:
                    backend.log = list(primary.log)
                    backend.term = primary.term

    async def expire_entries(self) -> None:
        """Remove the entries of backends that have been silent for too long."""
        while True:
            await asyncio.sleep(CHECK_S)
            now = time.monotonic()
            for backend in self.backends.values():
                is_silent = now - backend.beat_at_s > ENTRY_LIFETIME_S
                key = f"servers/{backend.member}"
                if is_silent and key in self.store.items:
                    self.store.remove(key)
                    self.log(f"the entry of {backend.member} is removed")

    def read(self, backend: Backend, own: list[tuple[str, str]], item: str) -> str:
        """Return the data of an item as a backend sees it."""
        for written, data in reversed(own):
            if written == item:
                return data
        for _, writes in reversed(backend.log):
            for written, data in reversed(writes):
                if written == item:
                    return data
        return "none"

    def promote(self, service: str, member: str) -> int:
        """Accept an order to promote a backend; return the HTTP status."""
        if service != self.name or member not in self.backends:
            return 409
        self.tasks.add(asyncio.create_task(self.carry_out(member)))
        return 200

    async def carry_out(self, member: str) -> None:
        """Promote a backend after the time that this takes."""
        await asyncio.sleep(PROMOTE_S)
        chosen = self.backends[member]
        if chosen.is_primary or not chosen.is_running:
            return
        lost = [
            position
            for _, (position, _) in self.acknowledged
            if position not in [logged for logged, _ in chosen.log]
        ]
        self.promoted.append((member, lost))
        self.log(f"{member} leads with {chosen.position}; it lacks {lost}")
        term = max(backend.term for backend in self.backends.values()) + 1
        for backend in self.backends.values():
            backend.is_primary, backend.held_term = False, 0
        chosen.is_primary, chosen.term = True, term
        self.replicate()
        for backend in self.backends.values():
            if backend.is_running:
                backend.beat()
