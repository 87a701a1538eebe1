"""Interfaces of the protocols on both sides of the proxy, and their registries."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Protocol

from result import Result

from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.line_stream import LineStream
from ebonyrack.core.registry import Registry
from ebonyrack.requests.reply import Answer
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.reply import UpstreamStatus
from ebonyrack.requests.request import Request


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A message that is rejected unread; nothing of it has run.

    Attributes:
        request_id: The caller's id of the request, if it could be read.
        reason: What is wrong with it.
        kind: Kind of the error that the caller gets.
        has_rest: Whether its rest is still to arrive and must be skipped.
        ends_session: Whether the rest of the stream can't be parsed either.
    """

    request_id: bytes
    reason: str
    kind: ErrorKind = ErrorKind.BAD_REQUEST
    has_rest: bool = False
    ends_session: bool = False


@dataclass(frozen=True, slots=True)
class Startup:
    """A caller's first message.

    Attributes:
        database: Name of the database for which a session is opened.
        key_digest: Digest of the key that the caller showed; the key isn't kept.
    """

    database: bytes
    key_digest: bytes = field(repr=False)


class CallerCodec(Protocol):
    """Protocol towards callers."""

    async def read_startup(self, stream: LineStream) -> Result[Startup, BadRequest]:
        """Read the first message of a caller."""

    async def read_request(
        self, stream: LineStream, rest_limit_s: float
    ) -> Result[Request | None, BadRequest]:
        """Read the next request; None at the end of the session.

        Args:
            stream: The caller's connection.
            rest_limit_s: Seconds from the first byte of a request to its last.
        """

    def encode_started(self) -> bytes:
        """Return the answer that confirms an opened session."""

    def encode_refusal(self, error: RequestError) -> bytes:
        """Return the answer that rejects a session."""

    def encode_answer(self, answer: Answer) -> bytes:
        """Return the answer to a request."""


class UpstreamCodec(Protocol):
    """Protocol towards upstreams."""

    def encode_start(self, group: str, member_id: str, account: str) -> bytes:
        """Return the startup message for a session with one upstream of a group.

        Args:
            group: Name of the group.
            member_id: Identity of the upstream that is expected.
            account: Client account that the session is for; empty for the proxy's own
                name.
        """

    def encode_request(self, request: Request) -> bytes:
        """Return an encoded request."""

    async def read_reply(self, stream: LineStream) -> Reply:
        """Read the reply to the oldest unanswered request."""

    def read_status(self, reply: Reply) -> Result[UpstreamStatus, str]:
        """Read an upstream's status from a reply."""


CALLER_CODECS: Registry[type[CallerCodec]] = Registry("protocol of callers")
UPSTREAM_CODECS: Registry[type[UpstreamCodec]] = Registry("protocol of upstreams")
