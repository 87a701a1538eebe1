"""Renders a chunk of a pipeline as frames and steps for one upstream connection."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from ebonyrack.callers.chunk_replay import CLOSE_COMPLETE
from ebonyrack.callers.chunk_replay import PARSE_COMPLETE
from ebonyrack.callers.exchange import RELAYED_STEP
from ebonyrack.callers.exchange import SWALLOWED_STEP
from ebonyrack.callers.exchange import Completion
from ebonyrack.callers.exchange import Step
from ebonyrack.callers.prepared import build_frame

if TYPE_CHECKING:
    from ebonyrack.callers.chunk import Chunk
    from ebonyrack.callers.chunk import ChunkItem
    from ebonyrack.callers.prepared import PreparedStatement
    from ebonyrack.upstreams.connection import UpstreamConnection

# Prepared statements kept on one upstream connection.
MAXIMUM_PREPARED = 256


class ChunkRenderer:
    """Builds the frames and steps of one chunk for one connection.

    Attributes:
        connection: The connection.
        chunk: The chunk.
        data: Frames built so far.
        steps: Expected steps of their answers.
        parsed_names: Names of the statements that these frames prepare.
        unnamed: The unnamed statement that these frames prepare, or None.
    """

    __slots__ = ("connection", "chunk", "data", "steps", "parsed_names", "unnamed")

    def __init__(self, connection: UpstreamConnection, chunk: Chunk) -> None:
        self.connection = connection
        self.chunk = chunk
        self.data = bytearray()
        self.steps: deque[Step] = deque()
        self.parsed_names: set[str] = set()
        self.unnamed: PreparedStatement | None = None

    def evict_statements(self) -> None:
        """Close the least recently used statements if the connection has too many."""
        prepared = self.connection.prepared
        while len(prepared) >= MAXIMUM_PREPARED:
            name, _ = prepared.popitem(last=False)
            self.data += build_frame(b"C", b"S" + name.encode() + b"\x00")
            self.steps.append(SWALLOWED_STEP)

    def add_message(self, item: ChunkItem) -> None:
        """Add the frames of one message.

        Args:
            item: The message with its statement.
        """
        message = item.message
        if message.kind == b"P":
            self.add_parse(item)
            return
        if message.kind == b"C" and message.targets_statement:
            self.steps.append(Step(Completion.LOCAL, CLOSE_COMPLETE))
            return
        frame = message.raw
        prepared = item.prepared
        if prepared is not None and message.kind == b"B":
            self.ensure_prepared(prepared)
            names = message.portal + b"\x00" + prepared.upstream_name + b"\x00"
            frame = build_frame(b"B", names + message.rest)
        elif prepared is not None and message.targets_statement:
            self.ensure_prepared(prepared)
            frame = build_frame(b"D", b"S" + prepared.upstream_name + b"\x00")
        self.data += frame
        self.steps.append(RELAYED_STEP)

    def add_parse(self, item: ChunkItem) -> None:
        """Add a Parse, or a local answer if the statement is already prepared.

        Args:
            item: The message with its statement.
        """
        prepared = item.prepared
        assert prepared is not None
        if self.is_prepared(prepared):
            step = Step(Completion.LOCAL, PARSE_COMPLETE)
        else:
            step = self.add_parse_frame(prepared, Completion.RELAY)
        self.steps.append(step)
        self.chunk.definitions.append((step, item.message.statement, prepared))

    def ensure_prepared(self, prepared: PreparedStatement) -> None:
        """Prepare a statement unless it is already prepared.

        Args:
            prepared: The statement.
        """
        if not self.is_prepared(prepared):
            self.steps.append(self.add_parse_frame(prepared, Completion.SWALLOW))

    def is_prepared(self, prepared: PreparedStatement) -> bool:
        """Return whether a statement is prepared at this point.

        Args:
            prepared: The statement.

        Returns:
            Whether a Bind may follow without a Parse.
        """
        if not prepared.upstream_name:
            return self.unnamed is prepared
        name = prepared.upstream_name.decode()
        if name in self.connection.prepared:
            self.connection.prepared.move_to_end(name)
            return True
        return name in self.parsed_names

    def add_parse_frame(
        self, prepared: PreparedStatement, completion: Completion
    ) -> Step:
        """Add the frame that prepares a statement.

        Args:
            prepared: The statement.
            completion: Whether the caller sees the answer.

        Returns:
            The step of the answer.
        """
        self.data += prepared.build_parse()
        name = prepared.upstream_name.decode()
        if name:
            self.parsed_names.add(name)
        else:
            self.unnamed = prepared
        return Step(completion, prepares=name)
