"""Extended query protocol: collects messages up to Sync or Flush and runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.callers.chunk import Chunk
from ebonyrack.callers.chunk import ChunkItem
from ebonyrack.callers.control_chunk import is_control
from ebonyrack.callers.control_chunk import run_control_chunk
from ebonyrack.callers.control_chunk import split_into_chunks
from ebonyrack.callers.dispatch import run_data
from ebonyrack.callers.internal_request import INTERNAL_BEGIN_SQL
from ebonyrack.callers.internal_request import INTERNAL_COMMIT
from ebonyrack.callers.internal_request import INTERNAL_ROLLBACK
from ebonyrack.callers.prepared import decode_message
from ebonyrack.callers.prepared import decode_statement
from ebonyrack.callers.statement_store import StatementStore
from ebonyrack.callers.transaction_status import IDLE
from ebonyrack.callers.transaction_status import OPEN
from ebonyrack.core.errors import RequestError

if TYPE_CHECKING:
    from ebonyrack.callers.prepared import PreparedStatement
    from ebonyrack.callers.session import CallerSession
    from ebonyrack.upstreams.connection import Message

# A longer pipeline runs in several parts, as if the caller had sent a Flush.
MAXIMUM_COLLECTED_BYTES = 1024 * 1024


class Pipeline:
    """Extended-query messages of one session.

    Outside a transaction block, messages up to Sync are one transaction in
    PostgreSQL. Without a Flush they are served as one request; with one, the proxy
    opens an implicit transaction, which ends at Sync.

    Attributes:
        session: The session.
        store: The session's prepared statements.
        portals: Statement of each portal.
        items: Messages that have not run yet.
        collected_bytes: Size of these messages.
        is_skipping: Whether messages are skipped up to Sync after an error.
        has_unsynced: Whether messages have run for which no Sync has arrived yet.
    """

    __slots__ = (
        "session",
        "store",
        "portals",
        "items",
        "collected_bytes",
        "is_skipping",
        "has_unsynced",
    )

    def __init__(self, session: CallerSession) -> None:
        self.session = session
        self.store = StatementStore()
        self.portals: dict[bytes, PreparedStatement | None] = {}
        self.items: list[ChunkItem] = []
        self.collected_bytes = 0
        self.is_skipping = False
        self.has_unsynced = False

    @property
    def is_open(self) -> bool:
        """Whether messages have arrived since the last Sync."""
        return bool(self.items) or self.is_skipping or self.has_unsynced

    async def process_message(self, frame: Message) -> None:
        """Collect a message, and run the collected ones when they are due.

        Args:
            frame: The frame.

        Raises:
            RequestError: If it ends the session.
        """
        if frame.kind == b"S":
            await self.process_sync()
        elif self.is_skipping:
            return
        elif frame.kind == b"H":
            await self.run_collected(is_synced=False)
        else:
            self.collect(frame)
            if self.is_run_due(frame):
                await self.run_collected(is_synced=False)

    def is_run_due(self, frame: Message) -> bool:
        """Return whether too much is collected to wait for a Sync or Flush.

        Args:
            frame: The message that arrived last.

        Returns:
            Whether to run the messages; preferably right after an Execute.
        """
        if self.collected_bytes > self.session.settings.maximum_message_bytes:
            return True
        return frame.kind == b"E" and self.collected_bytes > MAXIMUM_COLLECTED_BYTES

    def collect(self, frame: Message) -> None:
        """Store a message until Sync or Flush, with the statement it refers to.

        Args:
            frame: The frame.

        Raises:
            RequestError: BAD_REQUEST if it can't be decoded.
        """
        message = decode_message(frame.kind, frame.raw)
        prepared = None
        if message.kind == b"P":
            prepared = decode_statement(message.rest, bool(message.statement))
        elif message.kind == b"B" or message.targets_statement:
            prepared = self.find_statement(message.statement)
        else:
            prepared = self.portals.get(message.portal)
        if message.kind == b"B":
            self.portals[message.portal] = prepared
        self.items.append(ChunkItem(message, prepared))
        self.collected_bytes += len(frame.raw)

    def find_statement(self, name: bytes) -> PreparedStatement | None:
        """Find a statement, including those collected but not prepared yet.

        Args:
            name: The caller's name for it.

        Returns:
            The statement, or None if there is none of that name.
        """
        for item in reversed(self.items):
            message = item.message
            if message.statement == name and message.kind == b"P":
                return item.prepared
            if message.statement == name and message.kind == b"C":
                if message.targets_statement:
                    return None
        return self.store.statements.get(name)

    async def process_sync(self) -> None:
        """Run the collected messages at a Sync and send ReadyForQuery.

        Raises:
            RequestError: If it ends the session.
        """
        if not self.is_skipping:
            await self.run_collected(is_synced=True)
        self.is_skipping = False
        self.has_unsynced = False
        transaction = self.session.transaction
        if transaction.is_implicit:
            await self.end_implicit_transaction()
        if transaction.status == IDLE:
            self.portals.clear()
        self.session.write_ready()

    async def end_implicit_transaction(self) -> None:
        """End the transaction that the proxy has opened for the pipeline.

        Raises:
            RequestError: If it ends the session.
        """
        session = self.session
        transaction = session.transaction
        try:
            if transaction.status == OPEN:
                await transaction.commit(INTERNAL_COMMIT)
            else:
                await transaction.roll_back(INTERNAL_ROLLBACK)
        except RequestError as error:
            session.fail_request(error)
        # The caller has not opened this transaction and can't end it after an error.
        transaction.reset()

    async def run_collected(self, is_synced: bool) -> None:
        """Run the messages collected so far.

        Args:
            is_synced: Whether a Sync follows them.

        Raises:
            RequestError: If it ends the session.
        """
        items, self.items = self.items, []
        self.collected_bytes = 0
        self.has_unsynced = bool(items) and not is_synced
        for chunk in split_into_chunks(items):
            if not await self.run_chunk(chunk, is_synced):
                self.is_skipping = True
                return

    async def run_chunk(self, chunk: Chunk, is_synced: bool) -> bool:
        """Run a chunk and report an error to the caller unless it ends the session.

        Args:
            chunk: The chunk.
            is_synced: Whether a Sync follows it.

        Returns:
            Whether it succeeded.

        Raises:
            RequestError: If it ends the session.
        """
        session = self.session
        try:
            if is_control(chunk.items[0]):
                is_success = await run_control_chunk(session, self.store, chunk)
            else:
                is_success = await self.run_data_chunk(chunk, is_synced)
        except RequestError as error:
            session.fail_request(error)
            is_success = False
        session.count_request(chunk.statement, is_success)
        return is_success

    async def run_data_chunk(self, chunk: Chunk, is_synced: bool) -> bool:
        """Run a chunk of reads and writes.

        Args:
            chunk: The chunk.
            is_synced: Whether a Sync follows it.

        Returns:
            Whether it succeeded.

        Raises:
            RequestError: If it could not be served.
        """
        session = self.session
        if chunk.is_local:
            session.stream.write(chunk.build_replay([]))
            self.store.remove_closed(chunk)
            return True
        if not is_synced and session.transaction.status == IDLE and chunk.uses_portals:
            session.transaction.begin(INTERNAL_BEGIN_SQL, False, is_implicit=True)
        try:
            return await run_data(session, chunk.statement, chunk)
        finally:
            self.store.remove_closed(chunk)
            self.store.add_prepared(chunk)
