"""What is sent to an upstream for a request and which answers are expected."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
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
        prepares: Name under which the upstream knows a statement once the step
            has succeeded, or an empty string.
    """

    completion: Completion
    frame: bytes = b""
    prepares: str = ""


RELAYED = Step(Completion.RELAY)
SWALLOWED = Step(Completion.SWALLOW)


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


@dataclass(frozen=True, slots=True)
class SimpleRequest:
    """A simple query, sent on as it came.

    Attributes:
        raw: The Query frame.
    """

    raw: bytes

    def render(self, connection: UpstreamConnection) -> Exchange:
        """Build the exchange, the same for every connection."""
        return Exchange(self.raw)
