from pygwire.messages import ErrorResponse

from ebonyrack.callers.answers import extract_sqlstate


def test_sqlstate_is_extracted_at_any_frame_length():
    """A byte of the length field may equal the `C` of the SQLSTATE field."""
    for length in range(300):
        fields = {"S": "ERROR", "C": "0A000", "M": "x" * length}
        assert extract_sqlstate(ErrorResponse(fields=fields).to_wire()) == "0A000"


def test_missing_sqlstate_is_empty():
    raw = ErrorResponse(fields={"S": "ERROR", "M": "C"}).to_wire()
    assert extract_sqlstate(raw) == ""
