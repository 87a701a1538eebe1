"""Messages of a pipeline that run together on one upstream connection."""

from __future__ import annotations

import hashlib
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from pygwire.messages import BindComplete
from pygwire.messages import CloseComplete
from pygwire.messages import NoData
from pygwire.messages import ParameterDescription
from pygwire.messages import ParseComplete
from pygwire.messages import Sync

from ebonyrack.callers.answers import build_complete
from ebonyrack.callers.exchange import RELAYED
from ebonyrack.callers.exchange import SWALLOWED
from ebonyrack.callers.exchange import Completion
from ebonyrack.callers.exchange import Exchange
from ebonyrack.callers.exchange import Step
from ebonyrack.callers.prepared import build_frame
from ebonyrack.callers.prepared import read_result_formats
from ebonyrack.callers.statement import Statement
from ebonyrack.callers.statement import StatementKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ebonyrack.callers.prepared import PipelineMessage
    from ebonyrack.callers.prepared import PreparedStatement
    from ebonyrack.upstreams.connection import UpstreamConnection

PARSE_COMPLETE = ParseComplete().to_wire()
BIND_COMPLETE = BindComplete().to_wire()
CLOSE_COMPLETE = CloseComplete().to_wire()
NO_DATA = NoData().to_wire()
NO_PARAMETERS = ParameterDescription(type_oids=[]).to_wire()
SYNC = Sync().to_wire()
FORM_BYTES = 16
# Kinds of messages whose answer is recorded, and the kinds of frames that end it.
ANSWERED_KINDS = {b"D": frozenset({b"T", b"n"}), b"E": frozenset({b"C", b"I", b"s"})}
# Statements that one upstream connection keeps prepared.
MAXIMUM_PREPARED = 256

READS = Statement(StatementKind.READ)
WRITES = Statement(StatementKind.WRITE)


@dataclass(frozen=True, slots=True)
class ChunkItem:
    """One message and the prepared statement that it is about.

    Attributes:
        message: The message.
        prepared: The statement, or None if the session knows none of that name.
    """

    message: PipelineMessage
    prepared: PreparedStatement | None


@dataclass(slots=True)
class Chunk:
    """Consecutive messages that are served as one request.

    Attributes:
        items: The messages.
        definitions: Steps that define a statement, with its name in the session.
    """

    items: list[ChunkItem] = field(default_factory=list)
    definitions: list[tuple[Step, bytes, PreparedStatement]] = field(
        default_factory=list
    )

    @property
    def statement(self) -> Statement:
        """What the messages together need: a read only if all they execute is one.

        A statement that is only prepared or described changes nothing, and any
        upstream can tell about it.
        """
        for item in self.items:
            is_read = (
                item.prepared is not None
                and item.prepared.statement.kind is StatementKind.READ
            )
            if item.message.kind == b"E" and not is_read:
                return WRITES
        return READS

    @property
    def makes_portals(self) -> bool:
        """Whether anything is bound or executed, which ends with its transaction."""
        return any(item.message.kind in (b"B", b"E") for item in self.items)

    @property
    def is_local(self) -> bool:
        """Whether the proxy can answer all of it without an upstream."""
        return all(
            item.message.kind == b"C" and item.message.is_about_statement
            for item in self.items
        )

    def render(self, connection: UpstreamConnection) -> Exchange:
        """Build the exchange for a connection.

        Statements that the connection does not know are prepared on the way.

        Args:
            connection: The connection that will serve the messages.

        Returns:
            The exchange.
        """
        self.definitions = []
        renderer = ChunkRenderer(connection, self)
        renderer.evict()
        for item in self.items:
            renderer.add(item)
        renderer.data += SYNC
        return Exchange(bytes(renderer.data), renderer.steps)

    @property
    def form(self) -> bytes:
        """Digest of what is executed and of how its answer is described and laid out.

        Whether a statement is parsed along with it or was prepared before makes no
        difference.
        """
        digest = hashlib.blake2b(digest_size=FORM_BYTES)
        for item in self.items:
            message = item.message
            if message.kind in ANSWERED_KINDS:
                digest.update(message.kind + message.target)
            if message.kind == b"E":
                digest.update(message.rest)
            if message.kind == b"B" and item.prepared is not None:
                digest.update(read_result_formats(message.rest))
                digest.update(item.prepared.text.encode() + b"\x00")
        return digest.digest()

    def build_replay(self, tags: Sequence[str], frames: Sequence[bytes] = ()) -> bytes:
        """Build the answer from the record of an earlier run.

        Args:
            tags: Command tag of each Execute.
            frames: Recorded answers to each Describe and Execute, instead of tags.

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
            return build_recorded(self.items, deque(frames))
        return build_tagged(self.items, deque(tags))


def build_tagged(items: list[ChunkItem], tags: deque[str]) -> bytes:
    """Build the answer to commands that answer no rows.

    Args:
        items: The messages.
        tags: Command tag of each Execute.

    Returns:
        The frames.
    """
    answer = bytearray()
    for item in items:
        kind = item.message.kind
        if kind == b"E":
            answer += build_complete(tags.popleft() if tags else "")
        elif kind == b"D" and item.message.is_about_statement:
            answer += NO_PARAMETERS + NO_DATA
        else:
            answer += LOCAL_ANSWERS[kind]
    return bytes(answer)


def build_recorded(items: list[ChunkItem], frames: deque[bytes]) -> bytes:
    """Build the answer from frames that were recorded for the same messages.

    Args:
        items: The messages.
        frames: Answers to each Describe and Execute.

    Returns:
        The frames.
    """
    answer = bytearray()
    for item in items:
        last_kinds = ANSWERED_KINDS.get(item.message.kind)
        if last_kinds is None:
            answer += LOCAL_ANSWERS[item.message.kind]
            continue
        frame = b""
        while frame[:1] not in last_kinds:
            frame = frames.popleft()
            answer += frame
    return bytes(answer)


LOCAL_ANSWERS = {
    b"P": PARSE_COMPLETE,
    b"B": BIND_COMPLETE,
    b"C": CLOSE_COMPLETE,
    b"D": NO_DATA,
}


class ChunkRenderer:
    """Builds the frames and steps of one chunk for one connection.

    Attributes:
        connection: The connection.
        chunk: The chunk.
        data: Frames so far.
        steps: Steps of their answers.
        parsed: Names that the frames so far prepare.
        unnamed: The unnamed statement as it stands on the connection, or None.
    """

    __slots__ = ("connection", "chunk", "data", "steps", "parsed", "unnamed")

    def __init__(self, connection: UpstreamConnection, chunk: Chunk) -> None:
        self.connection = connection
        self.chunk = chunk
        self.data = bytearray()
        self.steps: deque[Step] = deque()
        self.parsed: set[str] = set()
        self.unnamed: PreparedStatement | None = None

    def evict(self) -> None:
        """Close the statements used longest ago, if the connection has many."""
        prepared = self.connection.prepared
        while len(prepared) >= MAXIMUM_PREPARED:
            name, _ = prepared.popitem(last=False)
            self.data += build_frame(b"C", b"S" + name.encode() + b"\x00")
            self.steps.append(SWALLOWED)

    def add(self, item: ChunkItem) -> None:
        """Add the frames of one message.

        Args:
            item: The message with its statement.
        """
        message = item.message
        if message.kind == b"P":
            self.add_parse(item)
            return
        if message.kind == b"C" and message.is_about_statement:
            self.steps.append(Step(Completion.LOCAL, CLOSE_COMPLETE))
            return
        frame = message.raw
        prepared = item.prepared
        if prepared is not None and message.kind == b"B":
            self.ensure(prepared)
            names = message.portal + b"\x00" + prepared.upstream_name + b"\x00"
            frame = build_frame(b"B", names + message.rest)
        elif prepared is not None and message.is_about_statement:
            self.ensure(prepared)
            frame = build_frame(b"D", b"S" + prepared.upstream_name + b"\x00")
        self.data += frame
        self.steps.append(RELAYED)

    def add_parse(self, item: ChunkItem) -> None:
        """Add a Parse, or its answer if the connection knows the statement.

        Args:
            item: The message with its statement.
        """
        prepared = item.prepared
        assert prepared is not None
        if self.is_known(prepared):
            step = Step(Completion.LOCAL, PARSE_COMPLETE)
        else:
            step = self.parse(prepared, Completion.RELAY)
        self.steps.append(step)
        self.chunk.definitions.append((step, item.message.statement, prepared))

    def ensure(self, prepared: PreparedStatement) -> None:
        """Prepare a statement unless the connection knows it.

        Args:
            prepared: The statement.
        """
        if not self.is_known(prepared):
            self.steps.append(self.parse(prepared, Completion.SWALLOW))

    def is_known(self, prepared: PreparedStatement) -> bool:
        """Tell whether a statement is prepared at this point.

        Args:
            prepared: The statement.

        Returns:
            Whether a Bind may follow at once.
        """
        if not prepared.upstream_name:
            return self.unnamed is prepared
        name = prepared.upstream_name.decode()
        if name in self.connection.prepared:
            self.connection.prepared.move_to_end(name)
            return True
        return name in self.parsed

    def parse(self, prepared: PreparedStatement, completion: Completion) -> Step:
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
            self.parsed.add(name)
        else:
            self.unnamed = prepared
        return Step(completion, prepares=name)
