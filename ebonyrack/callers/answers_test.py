from pygwire.messages import ErrorResponse

from ebonyrack.callers.answers import extract_sqlstate


def test_sqlstate_is_found_whatever_the_length_of_the_frame():
    """The length field may look like the start of the SQLSTATE field."""
    for length in range(300):
        fields = {"S": "ERROR", "C": "0A000", "M": "x" * length}
        assert extract_sqlstate(ErrorResponse(fields=fields).to_wire()) == "0A000"


def test_sqlstate_that_is_missing_is_empty():
    raw = ErrorResponse(fields={"S": "ERROR", "M": "C"}).to_wire()
    assert extract_sqlstate(raw) == ""
