from ebonyrack.core.errors import ERROR_ANSWERS
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import Executed
from ebonyrack.core.errors import RequestError
from ebonyrack.core.errors import build_error_fields


def test_every_kind_has_one_answer():
    assert set(ERROR_ANSWERS) == set(ErrorKind)


def test_sqlstates_have_five_characters():
    assert all(len(answer.sqlstate) == 5 for answer in ERROR_ANSWERS.values())


def test_only_requests_that_did_not_run_are_retryable():
    retried = [answer for answer in ERROR_ANSWERS.values() if answer.retry]
    assert all(answer.ran is Executed.NO for answer in retried)


def test_fields_say_whether_the_request_ran_and_when_to_retry():
    error = RequestError(ErrorKind.NO_PRIMARY, "ballot running", retry_after_s=0.25)
    fields = build_error_fields(error)
    assert fields["D"] == "ran=no kind=no_primary: ballot running"
    assert fields["H"] == "retry=yes after_ms=250"
    assert fields["C"] == "57P03"


def test_every_retryable_error_has_a_retry_after():
    for kind, answer in ERROR_ANSWERS.items():
        hint = build_error_fields(RequestError(kind))["H"]
        assert ("after_ms=" in hint) == answer.retry
