"""Data sent to an upstream for a request, and the expected steps of its answer."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Protocol

from ebonyrack.callers.answers import build_command_complete
from ebonyrack.callers.prepared import HEADER_BYTES

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ebonyrack.upstreams.connection import UpstreamConnection


class Completion(StrEnum):
    """What happens to the message that completes one step of an exchange."""

    RELAY = "relay"
    SWALLOW = "swallow"
    LOCAL = "local"


@dataclass(slots=True)
class Step:
    """One step of an exchange by the extended query protocol.

    Attributes:
        completion: Whether the caller sees the completing message.
        frame: The answer itself for LOCAL steps, else empty.
        prepares: Name of the statement that is prepared on the upstream once the
            step has succeeded, or an empty string.
        is_done: Whether the step has succeeded.
    """

    completion: Completion
    frame: bytes = b""
    prepares: str = ""
    is_done: bool = False


# Steps that prepare nothing can be shared, as their `is_done` is never used.
RELAYED_STEP = Step(Completion.RELAY)
SWALLOWED_STEP = Step(Completion.SWALLOW)


@dataclass(slots=True)
class Exchange:
    """The bytes of a request and the steps of its answer.

    Attributes:
        data: Whole frames, the last of which is answered by ReadyForQuery.
        steps: Steps in order, or None for a simple query.
    """

    data: bytes
    steps: deque[Step] | None = None


class Request(Protocol):
    """A request that can be rendered for whichever connection serves it."""

    def render(self, connection: UpstreamConnection) -> Exchange:
        """Build the exchange for a connection.

        Args:
            connection: The connection that will serve the request.

        Returns:
            The exchange.
        """

    @property
    def answer_format(self) -> bytes:
        """Identifies the layout of its answer, which a replayed answer must match."""

    def build_replay(self, tags: Sequence[str], frames: Sequence[bytes] = ()) -> bytes:
        """Build the answer without an upstream.

        Args:
            tags: Command tags, one for each command.
            frames: Recorded answer to a request of the same answer format, which
                replaces the tags if there is one.

        Returns:
            The frames.
        """


@dataclass(frozen=True, slots=True)
class SimpleRequest:
    """A simple query, forwarded unchanged.

    Attributes:
        raw: The Query frame.
    """

    raw: bytes

    def render(self, connection: UpstreamConnection) -> Exchange:
        """Build the exchange, the same for every connection."""
        return Exchange(self.raw)

    @property
    def answer_format(self) -> bytes:
        """The same for all simple queries, whose answers describe themselves."""
        return b"Q"

    def build_replay(self, tags: Sequence[str], frames: Sequence[bytes] = ()) -> bytes:
        """Build the answer from recorded frames or else from command tags."""
        return b"".join(frames or [build_command_complete(tag) for tag in tags])

    @property
    def text(self) -> str:
        """Text of the query."""
        return self.raw[HEADER_BYTES:-1].decode()
