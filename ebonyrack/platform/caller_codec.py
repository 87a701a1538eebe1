"""The caller side of the line protocol."""

from __future__ import annotations

from collections.abc import Callable

from result import Err
from result import Ok
from result import Result

from ebonyrack.core.errors import ERROR_ANSWERS
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.line_stream import LINE_END
from ebonyrack.core.line_stream import MAXIMUM_LINE_BYTES
from ebonyrack.core.line_stream import LineIncompleteError
from ebonyrack.core.line_stream import LineStream
from ebonyrack.core.line_stream import LineTooLongError
from ebonyrack.core.registry import Registry
from ebonyrack.platform.line_protocol import ERROR_CODES
from ebonyrack.platform.line_protocol import NO_VALUE
from ebonyrack.platform.line_protocol import STATE_CODES
from ebonyrack.requests.codec import CALLER_CODECS
from ebonyrack.requests.codec import BadRequest
from ebonyrack.requests.codec import Startup
from ebonyrack.requests.reply import Answer
from ebonyrack.requests.reply import TransactionState
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import RequestKind
from ebonyrack.routes.account import digest_key

Parse = Callable[[bytes, bytes], Request | None]

# Parser of a statement by its first word.
STATEMENTS: Registry[Parse] = Registry("statement")

# Whether a prepared statement writes, by the word in its PREPARE message.
WRITES_BY_PREPARED_KIND = {b"READ": False, b"WRITE": True}
# Number of fields in a line of the protocol; the last field may contain spaces.
STARTUP_FIELDS = 3
QUERY_FIELDS = 3
# Kinds of requests to which a proxy adds the position that the upstream must hold, or
# its own name of a prepared statement; and their longest message.
GROWING_KINDS = frozenset({RequestKind.READ, RequestKind.PREPARE, RequestKind.EXECUTE})
LONGEST_GROWING_BYTES = MAXIMUM_LINE_BYTES - 96
# Start of a rejected message in which its ID is looked for.
MAXIMUM_LOGGED_BYTES = 256


@CALLER_CODECS.register("lines")
class LineCallerCodec:
    """Reads requests and encodes responses, one line each."""

    __slots__ = ()

    async def read_startup(self, stream: LineStream) -> Result[Startup, BadRequest]:
        """Read the database and the key for which a session is opened.

        Args:
            stream: The caller's connection.

        Returns:
            The message, or why it is invalid.

        Raises:
            StreamLostError: If the caller has disconnected.
        """
        try:
            fields = (await stream.read_line()).split(b" ", STARTUP_FIELDS - 1)
        except LineTooLongError:
            return Err(reject_long_message(stream))
        if len(fields) != STARTUP_FIELDS or fields[0] != b"STARTUP" or not fields[1]:
            return Err(BadRequest(NO_VALUE, "not a startup message"))
        return Ok(Startup(fields[1], digest_key(fields[2])))

    async def read_request(
        self, stream: LineStream, rest_limit_s: float
    ) -> Result[Request | None, BadRequest]:
        """Read the next request.

        Args:
            stream: The caller's connection.
            rest_limit_s: Seconds from the first byte of a request to its last.

        Returns:
            The request, None at the end of the session, or why it is invalid.

        Raises:
            StreamLostError: If the caller has disconnected.
        """
        try:
            line = await stream.read_line(rest_limit_s)
        except LineTooLongError:
            return Err(reject_long_message(stream))
        except LineIncompleteError:
            reason = f"the message did not end within {rest_limit_s:g} s"
            return Err(BadRequest(read_id(stream), reason, ends_session=True))
        if line == b"TERMINATE":
            return Ok(None)
        fields = line.split(b" ", QUERY_FIELDS - 1)
        if len(fields) != QUERY_FIELDS or fields[0] != b"QUERY" or not fields[1]:
            return Err(BadRequest(NO_VALUE, "not a query message"))
        request = parse_statement(fields[1], fields[2])
        if isinstance(request, Ok) and has_no_room(request.ok_value, line):
            reason = f"the message is longer than {LONGEST_GROWING_BYTES} bytes"
            return Err(BadRequest(fields[1], reason, ErrorKind.REQUEST_TOO_LARGE))
        return request

    def encode_started(self) -> bytes:
        """Return the response to a session that was opened."""
        return encode_ready(TransactionState.IDLE)

    def encode_refusal(self, error: RequestError) -> bytes:
        """Return the response to a session that is rejected."""
        return encode_error(error)

    def encode_answer(self, answer: Answer) -> bytes:
        """Return the response to a request."""
        parts = [b"DATAROW " + row + LINE_END for row in answer.rows]
        if answer.error is not None:
            parts.append(encode_error(answer.error))
        else:
            parts.append(b"COMPLETE " + (answer.signature or NO_VALUE) + LINE_END)
        parts.append(encode_ready(answer.state))
        return b"".join(parts)


def has_no_room(request: Request, line: bytes) -> bool:
    """Return whether a message is too long to be sent on with what a proxy adds."""
    return len(line) > LONGEST_GROWING_BYTES and request.kind in GROWING_KINDS


def reject_long_message(stream: LineStream) -> BadRequest:
    """Return the rejection of a message whose end is not looked for."""
    reason = f"the message is longer than {MAXIMUM_LINE_BYTES} bytes"
    return BadRequest(
        read_id(stream), reason, ErrorKind.REQUEST_TOO_LARGE, has_rest=True
    )


def read_id(stream: LineStream) -> bytes:
    """Return the ID of a request that has not arrived as a whole, for logs."""
    start = bytes(stream.buffer[:MAXIMUM_LOGGED_BYTES])
    fields = start.split(b" ", QUERY_FIELDS - 1)
    return fields[1] if len(fields) == QUERY_FIELDS else NO_VALUE


def encode_ready(state: TransactionState) -> bytes:
    """Return the end of a response; callers need no position."""
    return b"READY %b %b" % (STATE_CODES[state], NO_VALUE) + LINE_END


def encode_error(error: RequestError) -> bytes:
    """Return an error with its reason and its retry-after, if any."""
    text = error.reason or ERROR_ANSWERS[error.kind].text
    if error.retry_after_s is not None:
        text = f"{text}; retry after {round(error.retry_after_s * 1000)} ms"
    one_line = text.encode("utf-8", "backslashreplace").replace(LINE_END, b" ")
    line = b"ERROR %b %b" % (ERROR_CODES[error.kind], one_line)
    return line[:MAXIMUM_LINE_BYTES] + LINE_END


def parse_statement(request_id: bytes, text: bytes) -> Result[Request, BadRequest]:
    """Parse the text of a statement.

    Args:
        request_id: The caller's id of the request.
        text: The statement.

    Returns:
        The request, or why it is invalid.
    """
    word = text.partition(b" ")[0].decode("ascii", "replace")
    parse = STATEMENTS.entries.get(word)
    request = parse(request_id, text) if parse is not None else None
    if request is None or request_id == NO_VALUE:
        return Err(BadRequest(request_id, "unknown or malformed statement"))
    return Ok(request)


@STATEMENTS.register("BEGIN")
def parse_begin(request_id: bytes, text: bytes) -> Request | None:
    """Parse `BEGIN` or `BEGIN READ`."""
    kinds = {
        b"BEGIN": RequestKind.BEGIN,
        b"BEGIN READ": RequestKind.BEGIN_READ_ONLY,
    }
    kind = kinds.get(text)
    return Request(kind, request_id, text) if kind is not None else None


@STATEMENTS.register("COMMIT")
def parse_commit(request_id: bytes, text: bytes) -> Request | None:
    """Parse `COMMIT`."""
    if text != b"COMMIT":
        return None
    return Request(RequestKind.COMMIT, request_id, text)


@STATEMENTS.register("ROLLBACK")
def parse_rollback(request_id: bytes, text: bytes) -> Request | None:
    """Parse `ROLLBACK`."""
    if text != b"ROLLBACK":
        return None
    return Request(RequestKind.ROLLBACK, request_id, text)


@STATEMENTS.register("READ")
def parse_read(request_id: bytes, text: bytes) -> Request | None:
    """Parse `READ item`."""
    fields = text.split(b" ")
    if len(fields) != 2 or not fields[1]:
        return None
    return Request(RequestKind.READ, request_id, text)


@STATEMENTS.register("WRITE")
def parse_write(request_id: bytes, text: bytes) -> Request | None:
    """Parse `WRITE item data`."""
    fields = text.split(b" ", 2)
    if len(fields) != 3 or not fields[1]:
        return None
    return Request(RequestKind.WRITE, request_id, text)


@STATEMENTS.register("SET")
def parse_set(request_id: bytes, text: bytes) -> Request | None:
    """Parse `SET name value`."""
    fields = text.split(b" ", 2)
    if len(fields) != 3 or not fields[1]:
        return None
    return Request(RequestKind.SET, request_id, text, fields[1], fields[2])


@STATEMENTS.register("PREPARE")
def parse_prepare(request_id: bytes, text: bytes) -> Request | None:
    """Parse `PREPARE name READ|WRITE shape`."""
    fields = text.split(b" ", 3)
    if len(fields) != 4 or not fields[1] or fields[2] not in WRITES_BY_PREPARED_KIND:
        return None
    writes = WRITES_BY_PREPARED_KIND[fields[2]]
    return Request(RequestKind.PREPARE, request_id, text, fields[1], fields[3], writes)


@STATEMENTS.register("EXECUTE")
def parse_execute(request_id: bytes, text: bytes) -> Request | None:
    """Parse `EXECUTE name item [data]`."""
    fields = text.split(b" ", 2)
    if len(fields) != 3 or not fields[1] or not fields[2]:
        return None
    return Request(RequestKind.EXECUTE, request_id, text, fields[1], fields[2])


@STATEMENTS.register("CLOSE")
def parse_close(request_id: bytes, text: bytes) -> Request | None:
    """Parse `CLOSE name`."""
    fields = text.split(b" ")
    if len(fields) != 2 or not fields[1]:
        return None
    return Request(RequestKind.CLOSE, request_id, text, fields[1])
