import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err
from result import Ok

from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.line_stream import LineStream
from ebonyrack.core.line_stream import StreamLostError
from ebonyrack.platform.caller_codec import LineCallerCodec
from ebonyrack.platform.caller_codec import parse_statement
from ebonyrack.platform.line_protocol import ERROR_CODES
from ebonyrack.requests.reply import Answer
from ebonyrack.requests.reply import TransactionState
from ebonyrack.requests.request import Request
from ebonyrack.requests.request import RequestKind

CODEC = LineCallerCodec()
REST_LIMIT_S = 3.0


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        (b"BEGIN", RequestKind.BEGIN),
        (b"BEGIN READ", RequestKind.BEGIN_READ_ONLY),
        (b"COMMIT", RequestKind.COMMIT),
        (b"ROLLBACK", RequestKind.ROLLBACK),
        (b"READ 1a4", RequestKind.READ),
        (b"WRITE 1a4 some data", RequestKind.WRITE),
        (b"SET zone far away", RequestKind.SET),
        (b"PREPARE s1 WRITE q2c", RequestKind.PREPARE),
        (b"EXECUTE s1 1a4 data", RequestKind.EXECUTE),
        (b"CLOSE s1", RequestKind.CLOSE),
    ],
)
def test_statement_keeps_its_text(text, kind):
    request = parse_statement(b"7", text).ok_value
    assert request.kind is kind
    assert request.request_id == b"7"
    assert request.text == text


def test_statement_fields_are_parsed():
    prepare = parse_statement(b"7", b"PREPARE s1 WRITE q2c").ok_value
    assert (prepare.name, prepare.argument, prepare.writes) == (b"s1", b"q2c", True)
    execute = parse_statement(b"7", b"EXECUTE s1 1a4 a b").ok_value
    assert (execute.name, execute.argument) == (b"s1", b"1a4 a b")
    value = parse_statement(b"7", b"SET zone far away").ok_value
    assert (value.name, value.argument) == (b"zone", b"far away")


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"BEGIN WRITE",
        b"COMMIT now",
        b"READ",
        b"READ ",
        b"READ a b",
        b"WRITE a",
        b"SET a",
        b"PREPARE s1 DROP q",
        b"EXECUTE s1",
        b"CLOSE",
        b"STATUS",
        b"PAUSE 9",
        b"AFTER 1.1 READ a",
        b"DISCARD",
        b"begin",
    ],
)
def test_statements_not_allowed_to_callers_are_rejected(text):
    assert isinstance(parse_statement(b"7", text), Err)


def test_placeholder_for_a_missing_id_is_rejected_as_request_id():
    assert isinstance(parse_statement(b"-", b"READ a"), Err)


@given(st.binary(max_size=300))
def test_arbitrary_bytes_give_requests_errors_or_the_end(data):
    stream = LineStream()
    stream.buffer += data
    stream.mark_lost("ended")

    async def read_all():
        for _ in range(len(data) + 1):
            result = await CODEC.read_request(stream, REST_LIMIT_S)
            assert isinstance(result, Ok | Err)
            if isinstance(result, Ok):
                assert result.ok_value is None or isinstance(result.ok_value, Request)

    with pytest.raises(StreamLostError):
        asyncio.run(read_all())


@given(st.binary(max_size=100))
def test_arbitrary_startup_bytes_give_a_name_or_an_error(data):
    stream = LineStream()
    stream.buffer += data + b"\r\n"
    stream.mark_lost("ended")
    result = asyncio.run(CODEC.read_startup(stream))
    assert isinstance(result, Ok | Err)


def test_response_with_rows_is_encoded():
    response = Answer(TransactionState.OPEN, [b"one", b"two"], b"sig")
    assert CODEC.encode_answer(response) == (
        b"DATAROW one\r\nDATAROW two\r\nCOMPLETE sig\r\nREADY T -\r\n"
    )


def test_error_with_retry_after_is_encoded_in_one_line():
    error = RequestError(ErrorKind.NO_PRIMARY, "gone\r\nREADY I -", 0.25)
    response = CODEC.encode_answer(Answer(TransactionState.IDLE, error=error))
    assert response.count(b"\r\n") == 2
    assert response.startswith(b"ERROR BUSY gone")
    assert b"retry after 250 ms" in response


def test_every_error_kind_of_sessions_has_a_code():
    not_raised_by_sessions = {
        ErrorKind.BAD_TOKEN,
        ErrorKind.UNSUPPORTED,
        ErrorKind.AUTHENTICATION_FAILED,
        ErrorKind.NOT_ALLOWED,
        ErrorKind.REPLICAS_LAG,
        ErrorKind.ALREADY_RAN,
        ErrorKind.CANCELLED,
    }
    assert set(ERROR_CODES) == set(ErrorKind) - not_raised_by_sessions


def test_requests_with_different_ids_differ_in_the_log():
    # Bytes that are not ASCII were all logged as one replacement character.
    ids = [b"a\x85", b"a\xff", b"a\xc3\xa4", b"a\n", b"a"]
    requests = [parse_statement(each, b"READ x").ok_value for each in ids]
    assert len({request.log_id for request in requests}) == len(ids)
