"""The line protocol towards upstreams."""

from __future__ import annotations

from collections.abc import Callable

from result import Err
from result import Ok
from result import Result

from ebonyrack.core.line_stream import LineStream
from ebonyrack.core.line_stream import LineTooLongError
from ebonyrack.core.line_stream import StreamLostError
from ebonyrack.core.position import LogPosition
from ebonyrack.platform.line_protocol import LINE_END
from ebonyrack.platform.line_protocol import NO_VALUE
from ebonyrack.platform.line_protocol import REJECTIONS_BY_CODE
from ebonyrack.platform.line_protocol import STATES_BY_CODE
from ebonyrack.requests.codec import UPSTREAM_CODECS
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.reply import UpstreamStatus
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import RequestKind

# The word by which a proxy names itself to upstreams; any word is taken.
CONNECTING_AS = "ebonyrack"
STATUS_FIELDS = 7
MS_PER_S = 1000.0

Render = Callable[[Request], bytes]


def render_text(request: Request) -> bytes:
    """Return the caller's text as it came."""
    return request.text


def render_prepare(request: Request) -> bytes:
    """Return the preparing of a statement."""
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
}


@UPSTREAM_CODECS.register("lines")
class LineUpstreamCodec:
    """Writes statements and reads replies, a line each."""

    __slots__ = ()

    def encode_start(self, group: str, member_id: str) -> bytes:
        """Return the opening of a session with one upstream of a group."""
        return f"STARTUP {group} {CONNECTING_AS} {member_id}".encode() + LINE_END

    def encode_request(self, request: Request) -> bytes:
        """Return a statement."""
        text = RENDERERS[request.kind](request)
        if request.minimum_position is not None:
            after = request.minimum_position
            text = b"AFTER %d.%d %b" % (after.term, after.offset, text)
        return b"QUERY %b %b\r\n" % (request.request_id or NO_VALUE, text)

    async def read_reply(self, stream: LineStream) -> Reply:
        """Read the answer to the oldest statement without one.

        Args:
            stream: The connection.

        Returns:
            The reply, also to the opening of the session; one that was refused
            ends with the connection and has no state.

        Raises:
            StreamLostError: If the connection ended before a whole reply came, or
                what came can't be understood.
        """
        reply = Reply()
        while True:
            try:
                word, _, rest = (await stream.read_line()).partition(b" ")
            except LineTooLongError as error:
                raise lose(stream, "the upstream sent a line too long") from error
            except StreamLostError:
                if reply.rejection is not None and not stream.buffer:
                    return reply
                raise
            if word == b"DATAROW":
                reply.rows.append(rest)
            elif word == b"COMPLETE":
                reply.signature = rest
            elif word == b"ERROR":
                code, _, detail = rest.partition(b" ")
                reply.rejection = REJECTIONS_BY_CODE.get(code, RejectionKind.OTHER)
                reply.detail = f"{code.decode('ascii', 'replace')} " + detail.decode(
                    "utf-8", "replace"
                )
            elif word == b"READY":
                return read_ready(stream, reply, rest)
            else:
                raise lose(stream, f"the upstream sent {word[:20]!r}")

    def read_status(self, reply: Reply) -> Result[UpstreamStatus, str]:
        """Read what an upstream says of its part in the group.

        Args:
            reply: Reply to STATUS, PAUSE or RESUME.

        Returns:
            The status, or why there is none.
        """
        if reply.rejection is not None or len(reply.rows) != 1:
            return Err(reply.detail or "no status came")
        words = reply.rows[0].split()
        if len(words) != STATUS_FIELDS:
            return Err(f"bad status: {reply.rows[0][:80]!r}")
        try:
            role, term, received, held, lag_ms, busy, connections = words
            return Ok(
                UpstreamStatus(
                    is_primary=role == b"primary",
                    term=int(term),
                    received=parse_dotted(received),
                    paused_term=int(held),
                    lag_s=float(lag_ms) / MS_PER_S,
                    busy_slots=int(busy),
                    connections=int(connections),
                )
            )
        except ValueError as error:
            return Err(f"bad status: {error}")


def read_ready(stream: LineStream, reply: Reply, rest: bytes) -> Reply:
    """Read the end of a reply."""
    letter, _, position = rest.partition(b" ")
    if letter not in STATES_BY_CODE:
        raise lose(stream, f"the upstream is in state {letter[:20]!r}")
    reply.state = STATES_BY_CODE[letter]
    if position != NO_VALUE:
        try:
            reply.position = parse_dotted(position)
        except ValueError as error:
            raise lose(stream, f"the upstream named no position: {error}") from error
    return reply


def lose(stream: LineStream, reason: str) -> StreamLostError:
    """Drop a connection that can't be understood any more."""
    stream.abort(reason)
    return StreamLostError(reason)


def parse_dotted(text: bytes) -> LogPosition:
    """Read a position from its `TERM.NUMBER` form.

    Raises:
        ValueError: If the text has another form.
    """
    term, dot, number = text.partition(b".")
    if not (dot and term.isdigit() and number.isdigit()):
        raise ValueError(f"not a log position: {text[:40]!r}")
    return LogPosition(int(term), int(number))
