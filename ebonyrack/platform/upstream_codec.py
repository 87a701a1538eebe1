"""The upstream side of the line protocol."""

from __future__ import annotations

import math
from collections.abc import Callable

from result import Err
from result import Ok
from result import Result

from ebonyrack.core.decoding import parse_integer
from ebonyrack.core.line_stream import LINE_END
from ebonyrack.core.line_stream import LineStream
from ebonyrack.core.line_stream import LineTooLongError
from ebonyrack.core.line_stream import StreamLostError
from ebonyrack.core.position import LogPosition
from ebonyrack.platform.line_protocol import NO_VALUE
from ebonyrack.platform.line_protocol import REJECTIONS_BY_CODE
from ebonyrack.platform.line_protocol import STATES_BY_CODE
from ebonyrack.requests.codec import UPSTREAM_CODECS
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.reply import UpstreamStatus
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import RequestKind

# Name under which a proxy connects to upstreams for itself and anonymous callers.
APPLICATION_NAME = "ebonyrack"
STATUS_FIELDS = 7
MS_PER_S = 1000.0
IS_PRIMARY_BY_ROLE = {b"primary": True, b"replica": False}

# Messages of a reply that precede its end.
REPLY_WORDS = frozenset({b"DATAROW", b"COMPLETE", b"ERROR"})

Render = Callable[[Request], bytes]


def render_text(request: Request) -> bytes:
    """Return the caller's text unchanged."""
    return request.text


def render_prepare(request: Request) -> bytes:
    """Return the text that prepares a statement."""
    kind = b"WRITE" if request.writes else b"READ"
    return b"PREPARE %b %b %b" % (request.name, kind, request.argument)


RENDERERS: dict[RequestKind, Render] = {
    RequestKind.BEGIN: lambda request: b"BEGIN",
    RequestKind.BEGIN_READ_ONLY: lambda request: b"BEGIN READ",
    RequestKind.COMMIT: render_text,
    RequestKind.ROLLBACK: lambda request: b"ROLLBACK",
    RequestKind.READ: render_text,
    RequestKind.WRITE: render_text,
    RequestKind.SET: lambda request: b"SET %b %b" % (request.name, request.argument),
    RequestKind.PREPARE: render_prepare,
    RequestKind.EXECUTE: (
        lambda request: b"EXECUTE %b %b" % (request.name, request.argument)
    ),
    RequestKind.DISCARD: lambda request: b"DISCARD",
    RequestKind.STATUS: lambda request: b"STATUS",
    RequestKind.PAUSE: lambda request: b"PAUSE %b" % request.argument,
    RequestKind.RESUME: lambda request: b"RESUME",
    RequestKind.STEP_DOWN: lambda request: b"STEPDOWN %b" % request.argument,
}


@UPSTREAM_CODECS.register("lines")
class LineUpstreamCodec:
    """Encodes statements and reads replies, one line each."""

    __slots__ = ()

    def encode_start(self, group: str, member_id: str, account: str) -> bytes:
        """Return the startup message for a session with one upstream of a group."""
        name = account or APPLICATION_NAME
        return f"STARTUP {group} {name} {member_id}".encode() + LINE_END

    def encode_request(self, request: Request) -> bytes:
        """Return the message for a statement."""
        text = RENDERERS[request.kind](request)
        if request.minimum_position is not None:
            position = request.minimum_position
            text = b"AFTER %d.%d %b" % (position.term, position.offset, text)
        return b"QUERY %b %b" % (request.request_id or NO_VALUE, text) + LINE_END

    async def read_reply(self, stream: LineStream) -> Reply:
        """Read the reply to the oldest statement that has none.

        Args:
            stream: The connection.

        Returns:
            The reply, also to the startup message. A rejected startup ends with the
            connection and has no state.

        Raises:
            StreamLostError: If the connection ended before a whole reply arrived, or
                the reply is invalid.
        """
        reply = Reply()
        while True:
            try:
                word, _, rest = (await stream.read_line()).partition(b" ")
            except LineTooLongError as error:
                raise abort_stream(
                    stream, "the upstream sent a line that is too long"
                ) from error
            except StreamLostError:
                if reply.rejection is not None and not stream.buffer:
                    return reply
                raise
            if word in REPLY_WORDS and has_outcome(reply):
                raise abort_stream(
                    stream, f"the upstream sent {word!r} after the outcome of a reply"
                )
            if word == b"DATAROW":
                reply.rows.append(rest)
            elif word == b"COMPLETE":
                reply.signature = rest
            elif word == b"ERROR":
                code = rest.partition(b" ")[0]
                reply.rejection = REJECTIONS_BY_CODE.get(code, RejectionKind.OTHER)
                reply.detail = rest.decode("utf-8", "backslashreplace")
            elif word == b"READY":
                return read_ready(stream, reply, rest)
            else:
                raise abort_stream(
                    stream, f"unexpected message from the upstream: {word[:20]!r}"
                )

    def read_status(self, reply: Reply) -> Result[UpstreamStatus, str]:
        """Parse an upstream's report of its role in the group.

        Args:
            reply: Reply to STATUS, PAUSE, RESUME or STEPDOWN.

        Returns:
            The status, or why it is missing or invalid.
        """
        if reply.rejection is not None or len(reply.rows) != 1:
            return Err(reply.detail or "no status was received")
        fields = reply.rows[0].split(b" ")
        if len(fields) != STATUS_FIELDS:
            return Err(f"invalid status: {reply.rows[0][:80]!r}")
        try:
            role, term, received, paused_term, lag_ms, busy, connections = fields
            return Ok(
                UpstreamStatus(
                    is_primary=read_role(role),
                    term=read_number(term),
                    received=parse_position(received),
                    paused_term=read_number(paused_term),
                    lag_s=read_lag(lag_ms),
                    busy_slots=read_number(busy),
                    connections=read_number(connections),
                )
            )
        except ValueError as error:
            return Err(f"invalid status: {error}")


def has_outcome(reply: Reply) -> bool:
    """Return whether a reply has succeeded or failed, so that only its end follows."""
    return reply.signature is not None or reply.rejection is not None


def read_ready(stream: LineStream, reply: Reply, rest: bytes) -> Reply:
    """Parse the end of a reply."""
    code, _, position = rest.partition(b" ")
    if code not in STATES_BY_CODE:
        raise abort_stream(stream, f"the upstream sent the unknown state {code[:20]!r}")
    reply.state = STATES_BY_CODE[code]
    if position != NO_VALUE:
        try:
            reply.position = parse_position(position)
        except ValueError as error:
            raise abort_stream(
                stream, f"the upstream sent an invalid position: {error}"
            ) from error
    return reply


def abort_stream(stream: LineStream, reason: str) -> StreamLostError:
    """Abort a connection after an invalid message."""
    stream.abort(reason)
    return StreamLostError(reason)


def parse_position(text: bytes) -> LogPosition:
    """Parse a position of the form `TERM.OFFSET`.

    Raises:
        ValueError: If the text is malformed.
    """
    term, _, number = text.partition(b".")
    return LogPosition(read_number(term), read_number(number))


def read_number(text: bytes) -> int:
    """Return a term, an offset or a count.

    Raises:
        ValueError: If it is no whole number from 0, or too large.
    """
    number = parse_integer(text)
    if number is None:
        raise ValueError(f"not a number: {text[:40]!r}")
    return number


def read_role(word: bytes) -> bool:
    """Return whether an upstream sees itself as the primary.

    Raises:
        ValueError: If the word is no role.
    """
    if word not in IS_PRIMARY_BY_ROLE:
        raise ValueError(f"not a role: {word[:40]!r}")
    return IS_PRIMARY_BY_ROLE[word]


def read_lag(text: bytes) -> float:
    """Return a lag in milliseconds as seconds.

    Raises:
        ValueError: If it is no finite number.
    """
    # Python skips white space around a number, which is no part of it here.
    lag_ms = float(text) if text == text.strip() else math.nan
    if not math.isfinite(lag_ms):
        raise ValueError(f"not a lag: {text[:40]!r}")
    return lag_ms / MS_PER_S
