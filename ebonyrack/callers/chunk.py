"""Messages of a pipeline that run together on one upstream connection."""

from __future__ import annotations

import hashlib
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from pygwire.messages import Sync

from ebonyrack.callers.chunk_renderer import ChunkRenderer
from ebonyrack.callers.chunk_replay import ANSWER_END_KINDS
from ebonyrack.callers.chunk_replay import PARSE_COMPLETE
from ebonyrack.callers.chunk_replay import build_answer_from_frames
from ebonyrack.callers.chunk_replay import build_answer_from_tags
from ebonyrack.callers.exchange import Completion
from ebonyrack.callers.exchange import Exchange
from ebonyrack.callers.exchange import Step
from ebonyrack.callers.prepared import decode_result_formats
from ebonyrack.callers.statement import Statement
from ebonyrack.callers.statement import StatementKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ebonyrack.callers.prepared import PipelineMessage
    from ebonyrack.callers.prepared import PreparedStatement
    from ebonyrack.upstreams.connection import UpstreamConnection

SYNC = Sync().to_wire()
ANSWER_FORMAT_BYTES = 16

READ_STATEMENT = Statement(StatementKind.READ)
WRITE_STATEMENT = Statement(StatementKind.WRITE)


@dataclass(frozen=True, slots=True)
class ChunkItem:
    """A message and the prepared statement that it refers to.

    Attributes:
        message: The message.
        prepared: The statement, or None if the session has none of that name.
    """

    message: PipelineMessage
    prepared: PreparedStatement | None


@dataclass(slots=True)
class Chunk:
    """Consecutive messages that are served as one request.

    Attributes:
        items: The messages.
        definitions: Step, name in the session and statement of each Parse.
    """

    items: list[ChunkItem] = field(default_factory=list)
    definitions: list[tuple[Step, bytes, PreparedStatement]] = field(
        default_factory=list
    )

    @property
    def statement(self) -> Statement:
        """Statement that stands for the chunk: a read if it executes only reads.

        Preparing or describing a statement changes nothing, so any upstream can do it.
        """
        for item in self.items:
            is_read = (
                item.prepared is not None
                and item.prepared.statement.kind is StatementKind.READ
            )
            if item.message.kind == b"E" and not is_read:
                return WRITE_STATEMENT
        return READ_STATEMENT

    @property
    def uses_portals(self) -> bool:
        """Whether it has a Bind or Execute; portals end with their transaction."""
        return any(item.message.kind in (b"B", b"E") for item in self.items)

    @property
    def is_local(self) -> bool:
        """Whether the proxy can answer all of it without an upstream."""
        return all(
            item.message.kind == b"C" and item.message.targets_statement
            for item in self.items
        )

    def render(self, connection: UpstreamConnection) -> Exchange:
        """Build the exchange for a connection.

        Statements that are not prepared on the connection yet are prepared first.

        Args:
            connection: The connection that will serve the messages.

        Returns:
            The exchange.
        """
        self.definitions = []
        renderer = ChunkRenderer(connection, self)
        renderer.evict_statements()
        for item in self.items:
            renderer.add_message(item)
        renderer.data += SYNC
        return Exchange(bytes(renderer.data), renderer.steps)

    @property
    def answer_format(self) -> bytes:
        """Digest of the executed statements and of the layout of their answers.

        It doesn't depend on whether a statement is parsed in this chunk or was
        prepared before.
        """
        digest = hashlib.blake2b(digest_size=ANSWER_FORMAT_BYTES)
        for item in self.items:
            message = item.message
            if message.kind in ANSWER_END_KINDS:
                digest.update(message.kind + message.target)
            if message.kind == b"E":
                digest.update(message.rest)
            if message.kind == b"B" and item.prepared is not None:
                digest.update(decode_result_formats(message.rest))
                digest.update(item.prepared.text.encode() + b"\x00")
        return digest.digest()

    def build_replay(self, tags: Sequence[str], frames: Sequence[bytes] = ()) -> bytes:
        """Build the answer from what was recorded for an earlier run.

        Args:
            tags: Command tag of each Execute.
            frames: Recorded answers to each Describe and Execute, which replace the
                tags if there are any.

        Returns:
            The frames.
        """
        done = Step(Completion.LOCAL, PARSE_COMPLETE, is_done=True)
        self.definitions = [
            (done, item.message.statement, item.prepared)
            for item in self.items
            if item.message.kind == b"P" and item.prepared is not None
        ]
        if frames:
            return build_answer_from_frames(self.items, deque(frames))
        return build_answer_from_tags(self.items, deque(tags))
