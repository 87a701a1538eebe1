"""Relays an answer from an upstream to a caller, byte for byte."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pygwire.messages import CopyFail

from ebonyrack.callers.answers import extract_sqlstate
from ebonyrack.callers.exchange import Completion
from ebonyrack.upstreams.connection import UpstreamLostError

if TYPE_CHECKING:
    from ebonyrack.callers.exchange import Exchange
    from ebonyrack.callers.session import CallerSession
    from ebonyrack.upstreams.connection import Message
    from ebonyrack.upstreams.connection import UpstreamConnection

# An answer shorter than this reaches the caller in one piece or not at all.
FLUSH_BYTES = 32 * 1024
# Messages that end a step: ParseComplete, BindComplete, CloseComplete, NoData,
# RowDescription, CommandComplete, EmptyQueryResponse and PortalSuspended.
COMPLETING_KINDS = frozenset({b"1", b"2", b"3", b"n", b"T", b"C", b"I", b"s"})
COMMAND_KINDS = frozenset({b"C", b"I", b"s"})
# CopyInResponse, CopyOutResponse and CopyBothResponse.
COPY_RESPONSE_KINDS = frozenset({b"G", b"H", b"W"})
# NotificationResponse, which only follows a LISTEN; that is not supported here.
DROPPED_KINDS = frozenset({b"A"})
TAG_OFFSET = 5
# The tables of a prepared statement have changed (feature_not_supported), or the
# proxy's record of the connection's prepared statements is wrong
# (duplicate_prepared_statement).
STALE_SQLSTATES = frozenset({"0A000", "42P05"})


class Relay:
    """Collects the answer to one exchange and sends it to the caller.

    Frames that `run` has not sent stay in `output`, for its caller to send or drop:
    the end of the answer or, with `hold_completed`, everything from the first
    completed command on.

    Attributes:
        session: The caller's session.
        connection: The upstream connection that answers.
        hold_completed: Whether the answers to completed commands are held back.
        steps: Steps still expected, or None for a simple query.
        output: Frames that have not been sent to the caller.
        has_sent: Whether any frame has been sent to the caller.
        is_held: Whether frames are held back from now on.
        error: ErrorResponse frame of the upstream, or None.
        completed_commands: Number of commands that the upstream has completed.
        tags: Their command tags, recorded only with `hold_completed`.
    """

    __slots__ = (
        "session",
        "connection",
        "hold_completed",
        "steps",
        "output",
        "has_sent",
        "is_held",
        "error",
        "completed_commands",
        "tags",
    )

    def __init__(
        self,
        session: CallerSession,
        connection: UpstreamConnection,
        exchange: Exchange,
        hold_completed: bool,
    ) -> None:
        self.session = session
        self.connection = connection
        self.hold_completed = hold_completed
        self.steps = exchange.steps
        self.output = bytearray()
        self.has_sent = False
        self.is_held = False
        self.error: bytes | None = None
        self.completed_commands = 0
        self.tags: list[str] = []

    @property
    def sqlstate(self) -> str:
        """SQLSTATE of the upstream's error, or an empty string."""
        return "" if self.error is None else extract_sqlstate(self.error)

    async def run(self) -> None:
        """Relay the answer up to ReadyForQuery, which is consumed but not relayed.

        Raises:
            UpstreamLostError: If the upstream is lost before ReadyForQuery, or
                the answer can't be relayed.
        """
        self.add_local_steps()
        while True:
            message = self.connection.pop_message()
            if message is None:
                message = await self.session.wait_for_message(self.connection)
            if message.kind == b"Z":
                return
            self.process_message(message)
            if len(self.output) >= FLUSH_BYTES:
                await self.flush()

    async def flush(self) -> None:
        """Send the collected frames to the caller unless they are held back."""
        if self.is_held:
            self.check_held_size()
            return
        self.has_sent = True
        self.session.stream.write(self.output)
        self.output = bytearray()
        await self.session.drain_output()

    def check_held_size(self) -> None:
        """Close the connection if its answer is too large to be held back.

        Raises:
            UpstreamLostError: If it is too large.
        """
        if len(self.output) > self.session.settings.maximum_message_bytes:
            self.connection.close()
            raise UpstreamLostError("the answer is too large to be held back")

    def process_message(self, message: Message) -> None:
        """Process one message of the answer.

        Args:
            message: A message other than ReadyForQuery.

        Raises:
            UpstreamLostError: For a COPY to the caller.
        """
        kind = message.kind
        if kind == b"D":
            self.output += message.raw
        elif kind == b"E":
            self.process_error(message)
        elif kind in COPY_RESPONSE_KINDS:
            self.reject_copy(message)
        elif kind not in DROPPED_KINDS:
            self.process_completion(message)

    def process_error(self, message: Message) -> None:
        """Record an error, after which the upstream skips all further steps.

        Args:
            message: The ErrorResponse.
        """
        self.error = message.raw
        self.is_held = True
        self.output += message.raw
        if self.steps is not None:
            self.steps.clear()
            if self.sqlstate in STALE_SQLSTATES:
                self.session.has_stale_statements = True

    def process_completion(self, message: Message) -> None:
        """Process a message that may complete a step.

        Args:
            message: A message of any kind that isn't processed otherwise.
        """
        kind = message.kind
        if kind in COMMAND_KINDS:
            self.completed_commands += 1
            if self.hold_completed:
                self.is_held = True
                self.tags.append(extract_tag(message))
        if self.steps and kind in COMPLETING_KINDS:
            step = self.steps.popleft()
            step.is_done = True
            if step.prepares:
                self.connection.prepared[step.prepares] = step.prepares
            if step.completion is Completion.RELAY:
                self.output += message.raw
            self.add_local_steps()
            return
        self.output += message.raw

    def add_local_steps(self) -> None:
        """Add the answers to the local steps that come next."""
        while self.steps and self.steps[0].completion is Completion.LOCAL:
            step = self.steps.popleft()
            step.is_done = True
            self.output += step.frame

    def reject_copy(self, message: Message) -> None:
        """Reject a COPY that was not recognised before it was sent.

        CopyFail ends a copy from the caller, so that the upstream reports an error and
        finishes its answer.

        Args:
            message: CopyInResponse, CopyOutResponse or CopyBothResponse.

        Raises:
            UpstreamLostError: For a copy to the caller; the connection is closed.
        """
        if message.kind == b"G":
            self.connection.send(CopyFail(error_message="not supported").to_wire())
            return
        self.connection.close()
        raise UpstreamLostError("COPY is not supported over pooled connections")


def extract_tag(message: Message) -> str:
    """Extract the command tag from a message that completes a command.

    Args:
        message: CommandComplete, EmptyQueryResponse or PortalSuspended.

    Returns:
        The tag, empty unless it is a CommandComplete.
    """
    if message.kind != b"C":
        return ""
    return message.raw[TAG_OFFSET:-1].decode("utf-8", "replace")
