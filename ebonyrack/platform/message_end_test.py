"""Property tests: messages of arbitrary bytes, received in arbitrary pieces."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.line_stream import LineStream
from ebonyrack.platform.caller_codec import LineCallerCodec
from ebonyrack.platform.caller_codec import encode_error
from ebonyrack.platform.line_protocol import REJECTIONS_BY_CODE
from ebonyrack.platform.upstream_codec import LineUpstreamCodec
from ebonyrack.requests.reply import Answer
from ebonyrack.requests.reply import TransactionState
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import RequestKind
from ebonyrack.routes.account import digest_key

CALLERS = LineCallerCodec()
UPSTREAMS = LineUpstreamCodec()
REST_LIMIT_S = 3.0

# Parts of line ends and words of the protocol come more often than other bytes.
PIECES = st.sampled_from(
    [b"\r", b"\n", b"\r", b" ", b"\t", b"\x00", b"\x85", b"QUERY 1 ", b"READY I -"]
)
TEXTS = st.lists(PIECES | st.binary(max_size=8), max_size=8).map(b"".join)
# The bytes that a field holds: its message ends at the first CR LF.
LAST_FIELDS = TEXTS.filter(lambda text: b"\r\n" not in text)
FIELDS = LAST_FIELDS.filter(lambda text: text != b"" and b" " not in text)
IDS = FIELDS.filter(lambda text: text != b"-")


@st.composite
def statements(draw):
    """Draw the text of a valid statement."""
    name = draw(FIELDS)
    rest = draw(LAST_FIELDS)
    return draw(
        st.sampled_from(
            [
                b"READ " + name,
                b"WRITE " + name + b" " + rest,
                b"SET " + name + b" " + rest,
                b"PREPARE " + name + b" WRITE " + rest,
                b"EXECUTE " + name + b" x" + rest,
                b"CLOSE " + name,
                b"BEGIN",
                b"COMMIT",
            ]
        )
    )


def run_with_pieces(data, cuts, read):
    """Feed bytes in pieces to a stream while a function reads from it."""

    async def run():
        stream = LineStream()
        reading = asyncio.create_task(read(stream))
        places = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
        for start, end in zip(places, places[1:], strict=False):
            if end > start:
                stream.data_received(data[start:end])
            await asyncio.sleep(0)
        async with asyncio.timeout(5):
            found = await reading
        assert not stream.buffer
        return found

    return asyncio.run(run())


CUTS = st.lists(st.integers(0, 10_000), max_size=12)


@given(st.lists(st.tuples(IDS, statements()), min_size=1, max_size=4), CUTS)
def test_statements_of_callers_are_forwarded_as_they_were_sent(messages, cuts):
    sent = [b"QUERY " + number + b" " + text for number, text in messages]

    async def read(stream):
        return [
            (await CALLERS.read_request(stream, REST_LIMIT_S)).ok_value for _ in sent
        ]

    requests = run_with_pieces(b"".join(each + b"\r\n" for each in sent), cuts, read)
    assert [(each.request_id, each.text) for each in requests] == messages
    for request, line in zip(requests, sent, strict=True):
        if request.kind in (RequestKind.READ, RequestKind.WRITE, RequestKind.COMMIT):
            assert UPSTREAMS.encode_request(request) == line + b"\r\n"
        elif request.kind is not RequestKind.CLOSE:
            # The proxy sends these itself, from the fields that it has stored.
            encoded = UPSTREAMS.encode_request(request)
            assert encoded.removesuffix(b"\r\n") == line
            assert encoded.find(b"\r\n") == len(encoded) - 2


@given(st.lists(LAST_FIELDS, min_size=1, max_size=4), CUTS)
def test_any_line_of_a_caller_is_one_request_or_one_error(lines, cuts):
    async def read(stream):
        return [await CALLERS.read_request(stream, REST_LIMIT_S) for _ in lines]

    results = run_with_pieces(b"".join(each + b"\r\n" for each in lines), cuts, read)
    for result, line in zip(results, lines, strict=True):
        request = result.ok_value if result.is_ok() else None
        if isinstance(request, Request):
            assert line == b"QUERY " + request.request_id + b" " + request.text
        elif result.is_ok():
            assert line == b"TERMINATE"


@given(FIELDS, LAST_FIELDS, CUTS)
def test_startup_of_a_caller_keeps_its_fields(database, key, cuts):
    data = b"STARTUP " + database + b" " + key + b"\r\n"
    startup = run_with_pieces(data, cuts, CALLERS.read_startup).ok_value
    assert startup.database == database
    assert startup.key_digest == digest_key(key)


@st.composite
def replies(draw):
    """Draw the lines of a reply of an upstream to a statement."""
    rows = [b"DATAROW " + row for row in draw(st.lists(LAST_FIELDS, max_size=3))]
    code = draw(st.sampled_from(sorted(REJECTIONS_BY_CODE)) | FIELDS)
    signature = draw(LAST_FIELDS.filter(bool))
    outcome = draw(
        st.sampled_from(
            [b"COMPLETE " + signature, b"ERROR " + code + b" " + draw(LAST_FIELDS)]
        )
    )
    return [*rows, outcome, draw(st.sampled_from([b"READY I 3.7", b"READY T -"]))]


@given(st.lists(replies(), min_size=1, max_size=3), CUTS)
def test_replies_of_upstreams_are_answered_as_they_were_sent(sent, cuts):
    async def read(stream):
        return [await UPSTREAMS.read_reply(stream) for _ in sent]

    data = b"".join(line + b"\r\n" for lines in sent for line in lines)
    for reply, lines in zip(run_with_pieces(data, cuts, read), sent, strict=True):
        *rows, outcome, _ = lines
        answered = CALLERS.encode_answer(
            Answer(TransactionState.IDLE, reply.rows, reply.signature)
        ).split(b"\r\n")
        assert answered[: len(rows)] == rows
        if reply.rejection is None:
            assert answered[len(rows) :] == [outcome, b"READY I -", b""]
        else:
            text = outcome.removeprefix(b"ERROR ").decode("utf-8", "backslashreplace")
            assert reply.detail == text


@given(st.text(st.characters(codec=None) | st.sampled_from("\r\n"), max_size=60))
def test_any_reason_of_an_error_makes_one_message(reason):
    # Texts of exceptions and of other processes may hold what can't be encoded.
    for wait_s in (None, 0.02):
        data = encode_error(RequestError(ErrorKind.NO_PRIMARY, reason, wait_s))
        assert data.find(b"\r\n") == len(data) - 2
