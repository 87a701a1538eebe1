"""Stand-in upstream that speaks the line protocol over TCP, with faults."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.core.position import LogPosition
from ebonyrack.core.tasks import end_tasks
from ebonyrack.standins.line_group import LineGroup
from ebonyrack.standins.line_group import LineMember
from ebonyrack.standins.line_group import StatementRecord
from ebonyrack.standins.line_messages import MAXIMUM_MESSAGE_BYTES
from ebonyrack.standins.line_messages import encode_message
from ebonyrack.standins.line_messages import read_message

signature_numbers = itertools.count(1)
session_numbers = itertools.count(1)


class StatementRejectedError(Exception):
    """Raised for a rejected statement, with its error code."""


@dataclass(slots=True)
class LineFaults:
    """Faults of an upstream.

    Attributes:
        is_silent: Whether it sends no replies, on open and new connections.
        lose_answers: Number of further statements with an ID that run, after which the
            connection is closed without a reply.
        suppress_answers: Number of further statements with an ID that run without an
            reply, while the connection stays open.
        rejections: Error codes with which the next statements with an ID are rejected.
        delay_s: Delay before each statement with an ID runs, in seconds.
        signature_end: Text that it adds to its signatures.
        replies: Messages with which it answers the next statements with an ID instead
            of its own reply, after they have run.
        is_full: Whether it rejects further connections.
        maximum_connections: Connections that it accepts in total, or None for any
            number.
    """

    is_silent: bool = False
    lose_answers: int = 0
    suppress_answers: int = 0
    rejections: list[str] = field(default_factory=list)
    delay_s: float = 0.0
    signature_end: str = ""
    replies: list[list[str]] = field(default_factory=list)
    is_full: bool = False
    maximum_connections: int | None = None


@dataclass(slots=True)
class LineSession:
    """Session of one connection.

    Attributes:
        account: Name with which the connection was opened.
        number: Its number.
        state: `I` (idle), `T` (in a transaction) or `E` (in a failed transaction).
        is_read_only: Whether the open transaction is read-only.
        term: Term in which the open transaction began.
        writes: Writes of the open transaction.
        values: Session values.
        prepared: Kind and shape of each prepared statement, by name.
    """

    account: str
    number: int = field(default_factory=lambda: next(session_numbers))
    state: str = "I"
    is_read_only: bool = False
    term: int = 0
    writes: list[tuple[str, str]] = field(default_factory=list)
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)


class LineUpstream(Component):
    """One upstream of a group: an async context manager.

    Attributes:
        group: The group.
        member: Its state in the model of the group.
        address: Address to listen on; port 0 is replaced at the first start.
        faults: Injected faults.
        server: The listening server, while running.
        tasks: Tasks of its connections.
        connections: Number of connections accepted so far.
        account_connections: Number of sessions opened so far, by name of the account.
    """

    __slots__ = (
        "group",
        "member",
        "address",
        "faults",
        "server",
        "tasks",
        "connections",
        "account_connections",
    )

    def __init__(self, group: LineGroup, member: LineMember) -> None:
        self.group = group
        self.member = member
        self.address = Address("127.0.0.1", 0)
        self.faults = LineFaults()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections = 0
        self.account_connections: Counter[str] = Counter()

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(
            self.serve,
            self.address.host,
            self.address.port,
            limit=MAXIMUM_MESSAGE_BYTES,
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = Address(self.address.host, port)

    async def stop(self) -> None:
        """Stop listening and abort open connections, as a crash does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        await end_tasks(list(self.tasks))

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.connections += 1
        try:
            with contextlib.suppress(ConnectionError, asyncio.CancelledError):
                await self.serve_session(reader, writer)
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def serve_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Open the session and run its statements."""
        startup = await read_message(reader)
        if startup is None:
            return
        words = startup.split(" ")
        await self.wait_while_silent()
        error = self.check_startup(words)
        if error:
            writer.write(encode_message(f"ERROR {error}"))
            await writer.drain()
            return
        session = LineSession(words[2])
        self.account_connections[session.account] += 1
        writer.write(self.render_ready(session))
        while (line := await read_message(reader)) is not None:
            fields = line.split(" ", 2)
            if len(fields) != 3 or fields[0] != "QUERY":
                writer.write(encode_message("ERROR MALFORMED -"))
                writer.write(self.render_ready(session))
                continue
            _, request_id, text = fields
            reply = await self.build_reply(session, request_id, text)
            await self.wait_while_silent()
            if request_id != "-" and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return
            if request_id != "-" and self.faults.suppress_answers > 0:
                self.faults.suppress_answers -= 1
                continue
            if request_id != "-" and self.faults.replies:
                messages = map(encode_message, self.faults.replies.pop(0))
                writer.write(b"".join(messages))
                continue
            writer.write(reply + self.render_ready(session))
            await writer.drain()

    async def wait_while_silent(self) -> None:
        """Wait while the upstream sends no replies."""
        while self.faults.is_silent:
            await asyncio.sleep(0.01)

    def check_startup(self, words: list[str]) -> str:
        """Return the error of a rejected session, or an empty string."""
        maximum = self.faults.maximum_connections
        is_over = maximum is not None and len(self.tasks) > maximum
        if self.faults.is_full or is_over:
            return "TOOMANY -"
        expected = words[3] if len(words) > 3 else self.member.member_id
        if words[1] != self.group.name or expected != self.member.member_id:
            return "WRONGNODE -"
        return ""

    def render_ready(self, session: LineSession) -> bytes:
        """Return the line that ends a reply."""
        position = (
            self.member.received_position
            if self.member.is_primary
            else self.member.applied_position
        )
        return encode_message(
            f"READY {session.state} {position.term}.{position.offset}"
        )

    async def build_reply(
        self, session: LineSession, request_id: str, text: str
    ) -> bytes:
        """Run a statement and return its reply without the last line."""
        try:
            row, signature = await self.run(session, request_id, text)
        except StatementRejectedError as rejection:
            if session.state == "T":
                session.state = "E"
            return encode_message(f"ERROR {rejection} {self.member.member_id}")
        rows = encode_message(f"DATAROW {row}") if row else b""
        return rows + encode_message(f"COMPLETE {signature}")

    async def run(
        self, session: LineSession, request_id: str, text: str
    ) -> tuple[str, str]:
        """Run a statement; return its row and signature."""
        after, text = split_position(text)
        command, _, rest = text.partition(" ")
        if request_id != "-":
            await self.apply_faults()
        if after is not None and self.member.applied_position < after:
            raise StatementRejectedError("LAGGING")
        if session.state == "E" and command not in ("ROLLBACK", "COMMIT"):
            raise StatementRejectedError("MALFORMED")
        handler = getattr(self, f"run_{command.lower()}", None)
        if handler is None:
            raise StatementRejectedError("MALFORMED")
        row = await handler(session, rest)
        signature = "-"
        if request_id != "-":
            signature = f"sig{next(signature_numbers)}{self.faults.signature_end}"
        self.group.records.append(
            StatementRecord(
                self.member.member_id,
                request_id,
                text,
                session.number,
                session.state == "T",
                tuple(sorted(session.values.items())),
                signature,
                session.account,
            )
        )
        return row, signature

    async def apply_faults(self) -> None:
        """Delay or reject a statement according to the faults."""
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.rejections:
            raise StatementRejectedError(self.faults.rejections.pop(0))

    def check_primary(self, session: LineSession) -> None:
        """Reject what only the primary of the transaction's term may run."""
        has_term_changed = session.state == "T" and self.member.term != session.term
        if not self.member.is_primary or has_term_changed:
            raise StatementRejectedError("READONLY")

    async def run_begin(self, session: LineSession, rest: str) -> str:
        """Begin a transaction."""
        session.is_read_only = rest == "READ"
        if not session.is_read_only:
            self.check_primary(session)
        session.state, session.term, session.writes = "T", self.member.term, []
        return ""

    async def run_read(self, session: LineSession, rest: str) -> str:
        """Read an item, including the transaction's own writes."""
        if session.state == "T" and not session.is_read_only:
            self.check_primary(session)
        own_writes = [data for item, data in session.writes if item == rest]
        return own_writes[-1] if own_writes else self.member.read(rest)

    async def run_write(self, session: LineSession, rest: str) -> str:
        """Write an item, at once or when the transaction commits."""
        item, _, data = rest.partition(" ")
        self.check_primary(session)
        if session.state == "T":
            session.writes.append((item, data))
        elif await self.group.commit(self.member, ((item, data),)) is None:
            raise StatementRejectedError("FAILED")
        return ""

    async def run_commit(self, session: LineSession, rest: str) -> str:
        """Commit the transaction."""
        state, session.state = session.state, "I"
        if state != "T":
            raise StatementRejectedError("MALFORMED")
        if session.writes:
            session.state = "T"
            try:
                self.check_primary(session)
            finally:
                session.state = "I"
            writes, session.writes = tuple(session.writes), []
            if await self.group.commit(self.member, writes) is None:
                raise StatementRejectedError("FAILED")
        return ""

    async def run_rollback(self, session: LineSession, rest: str) -> str:
        """Roll the transaction back."""
        session.state, session.writes = "I", []
        return ""

    async def run_set(self, session: LineSession, rest: str) -> str:
        """Set a session value."""
        name, _, value = rest.partition(" ")
        session.values[name] = value
        return ""

    async def run_prepare(self, session: LineSession, rest: str) -> str:
        """Prepare a statement."""
        name, kind, shape = rest.split(" ", 2)
        session.prepared[name] = (kind, shape)
        return ""

    async def run_execute(self, session: LineSession, rest: str) -> str:
        """Execute a prepared statement."""
        name, _, arguments = rest.partition(" ")
        if name not in session.prepared:
            raise StatementRejectedError("NOSTMT")
        if session.prepared[name][0] == "WRITE":
            return await self.run_write(session, arguments)
        return await self.run_read(session, arguments)

    async def run_discard(self, session: LineSession, rest: str) -> str:
        """Discard session values and prepared statements."""
        session.values.clear()
        session.prepared.clear()
        return ""

    async def run_status(self, session: LineSession, rest: str) -> str:
        """Return the role, terms and position of this upstream."""
        member = self.member
        role = "primary" if member.is_primary else "replica"
        received = member.received_position
        return (
            f"{role} {member.term} {received.term}.{received.offset} "
            f"{member.paused_below_term} 0 0 {len(self.tasks)}"
        )

    async def run_pause(self, session: LineSession, rest: str) -> str:
        """Pause replication in terms below the given one."""
        if int(rest) <= self.member.term:
            raise StatementRejectedError("MALFORMED")
        self.member.paused_below_term = int(rest)
        return await self.run_status(session, "")

    async def run_stepdown(self, session: LineSession, rest: str) -> str:
        """End the lead of a primary of a term below the given one."""
        self.group.step_down(self.member, int(rest))
        return await self.run_status(session, "")

    async def run_resume(self, session: LineSession, rest: str) -> str:
        """Resume replication."""
        self.member.paused_below_term = 0
        primary = self.group.primary
        if primary is not None:
            self.group.replicate(primary)
        return await self.run_status(session, "")


def split_position(text: str) -> tuple[LogPosition | None, str]:
    """Split a statement into its `AFTER` position, if any, and the rest."""
    if not text.startswith("AFTER "):
        return None, text
    _, position, text = text.split(" ", 2)
    term, _, offset = position.partition(".")
    return LogPosition(int(term), int(offset)), text
