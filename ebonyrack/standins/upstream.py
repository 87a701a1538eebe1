"""One upstream of the stand-in group: its role, terms and sessions."""

from __future__ import annotations

import asyncio
import itertools
import time

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.position import LogPosition
from ebonyrack.core.tasks import end_tasks
from ebonyrack.standins.faults import UpstreamFaults
from ebonyrack.standins.locks import LockTable
from ebonyrack.standins.log import LogEntry
from ebonyrack.standins.options import UpstreamOptions
from ebonyrack.standins.replication import LogFollower
from ebonyrack.standins.session import StandinSession
from ebonyrack.standins.sql_error import SqlError
from ebonyrack.standins.storage import Storage
from ebonyrack.standins.transaction import Transaction
from ebonyrack.upstreams.status import Role
from ebonyrack.upstreams.status import UpstreamStatus

LISTEN_BACKLOG = 1024


class StandinUpstream(Storage, Component):
    """A database server with terms, fencing, promotion and asynchronous replication.

    A killed upstream keeps its log, its term and its highest granted term.

    Attributes:
        name: Name of the upstream.
        options: Limits and delays; may be changed at any time.
        address: Address to listen on; port 0 is replaced at the first start.
        peer_names: Name of each other upstream by address.
        faults: Injected faults.
        role: Primary or replica.
        term: Term in which it is primary, or term of the primary it follows.
        fenced_term: Highest term that it granted or followed.
        leaving: Whether it reports that it is leaving the group.
        last_primary_contact_s: Monotonic time of the last frame from its primary, or
            at which it began to follow.
        sessions: Open sessions by process ID.
        slots: Semaphore that limits the statements running at once.
        follower: Receiver of the primary's log, or None if it follows no primary.
    """

    __slots__ = (
        "name",
        "options",
        "address",
        "peer_names",
        "faults",
        "role",
        "term",
        "fenced_term",
        "leaving",
        "last_primary_contact_s",
        "sessions",
        "slots",
        "follower",
        "server",
        "tasks",
        "process_ids",
    )

    def __init__(self, name: str, options: UpstreamOptions, address: Address) -> None:
        super().__init__()
        self.name = name
        self.options = options
        self.address = address
        self.peer_names: dict[Address, str] = {}
        self.faults = UpstreamFaults()
        self.role = Role.REPLICA
        self.term = 0
        self.fenced_term = 0
        self.leaving = False
        self.last_primary_contact_s = now_s()
        self.sessions: dict[int, StandinSession] = {}
        self.slots = asyncio.Semaphore(options.slots)
        self.follower: LogFollower | None = None
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.process_ids = itertools.count(1)

    @property
    def can_write(self) -> bool:
        """Whether it is primary and has granted no higher term."""
        return self.role is Role.PRIMARY and self.fenced_term <= self.term

    @property
    def is_running(self) -> bool:
        """Whether it listens."""
        return self.server is not None

    @property
    def is_full(self) -> bool:
        """Whether all of its connections are in use."""
        return len(self.sessions) >= self.options.connection_limit

    async def start(self) -> None:
        """Listen for proxies and replicas."""
        self.server = await asyncio.start_server(
            self.accept, self.address.host, self.address.port, backlog=LISTEN_BACKLOG
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = Address(self.address.host, port)

    def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Start the task that serves a new connection."""
        session = StandinSession(self, reader, writer, next(self.process_ids))
        task = asyncio.create_task(session.run())
        session.task = task
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def kill(self) -> None:
        """Stop at once, as a killed process does; only the log and terms persist."""
        server, self.server = self.server, None
        if server is not None:
            server.close()
        await self.stop_following()
        for session in list(self.sessions.values()):
            session.abort()
        await end_tasks(self.tasks)

    async def stop(self) -> None:
        """Stop and close the database."""
        await self.kill()
        self.database.close()

    async def restart(self) -> None:
        """Restart as a replica that waits for a follow command."""
        self.rebuild(len(self.log.entries))
        self.role = Role.REPLICA
        self.sessions.clear()
        self.slots = asyncio.Semaphore(self.options.slots)
        self.locks = LockTable()
        self.faults.apply(frozen=False)
        await self.start()

    async def reimage(self) -> None:
        """Restart with an empty disk: no log, no terms and no grants."""
        await self.kill()
        self.log.truncate(0)
        self.term = 0
        self.fenced_term = 0
        await self.restart()

    def cancel(self, process_id: int, secret_key: bytes) -> None:
        """Cancel the running statement of a session if the key matches."""
        session = self.sessions.get(process_id)
        if session is not None:
            session.cancel(secret_key)

    def read_status(self) -> UpstreamStatus:
        """Return the status that a poll reports now."""
        return UpstreamStatus(
            role=self.role,
            term=self.term,
            fenced_term=self.fenced_term,
            received=self.log.last,
            applied=self.applied.reached,
            leaving=self.leaving,
            silence_s=None
            if self.role is Role.PRIMARY
            else now_s() - self.last_primary_contact_s,
        )

    async def begin_write(
        self, transaction: Transaction, lock_keys: frozenset[str]
    ) -> None:
        """Start a write of a transaction once it holds the lock keys.

        Args:
            transaction: The session's transaction.
            lock_keys: Lock keys of the statement.

        Raises:
            SqlError: If the upstream accepts no writes (25006).
        """
        if self.can_write:
            await self.locks.acquire(lock_keys, transaction)
        if not self.can_write:
            self.locks.release(transaction)
            raise SqlError("25006", "cannot write in a read-only transaction")
        if not transaction.is_writing:
            transaction.is_writing = True
            transaction.time_us = time.time_ns() // 1000

    async def fence(self, term: int) -> bool:
        """Grant a term to a ballot, once and only if it is the highest so far.

        Args:
            term: The term.

        Returns:
            Whether it is granted.
        """
        if term <= self.fenced_term:
            return False
        self.fenced_term = term
        await self.stop_following()
        self.end_transactions()
        self.wake_senders()
        return True

    def end_transactions(self) -> None:
        """Roll back a primary's open transactions and close their sessions."""
        if self.role is not Role.PRIMARY:
            return
        for session in list(self.sessions.values()):
            if session.transaction is not None:
                session.terminate_transaction()

    async def promote(self, term: int) -> LogPosition:
        """Become primary in a granted term and write the term-start entry.

        Args:
            term: The term.

        Returns:
            Position of the term-start entry, or of the last if already primary.

        Raises:
            SqlError: If this term isn't the last one granted, or was followed.
        """
        if self.can_write and self.term == term:
            return self.log.last
        if term != self.fenced_term or term <= self.term:
            raise SqlError(
                "55000",
                f"cannot promote in term {term}: granted up to {self.fenced_term}",
            )
        await self.stop_following()
        self.apply_received(self.log.last)
        self.database.prepare_for_writes()
        self.role = Role.PRIMARY
        self.term = term
        position = LogPosition(term, len(self.log.entries) + 1)
        self.append(LogEntry(position, 0, ()))
        self.applied.advance(position)
        return position

    async def follow(self, term: int, primary: Address) -> None:
        """Become a replica of a primary, unless a higher term was granted.

        Args:
            term: Term of the primary.
            primary: Address of the primary.

        Raises:
            SqlError: If the term is too low, or this upstream is its primary.
        """
        if term < self.fenced_term or term < self.term:
            raise SqlError(
                "55000", f"term {term} is below the granted term {self.fenced_term}"
            )
        if primary == self.address or (self.role is Role.PRIMARY and term == self.term):
            raise SqlError("55000", f"this upstream is the primary of term {term}")
        follower = self.follower
        if follower and (follower.term, follower.primary) == (term, primary):
            return
        await self.stop_following()
        self.fenced_term = term
        self.end_transactions()
        self.role = Role.REPLICA
        self.term = term
        self.wake_senders()
        self.last_primary_contact_s = now_s()
        self.follower = LogFollower(self, term, primary)
        self.follower.start()

    async def stop_following(self) -> None:
        """Stop receiving entries from the primary."""
        follower, self.follower = self.follower, None
        if follower is not None:
            await follower.stop()
