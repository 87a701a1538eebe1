import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.callers.token import MAXIMUM_TOKEN_CHARACTERS
from ebonyrack.callers.token import build_token
from ebonyrack.callers.token import read_token
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LogPosition

KEY = b"a key that all proxies share"
NUMBERS = st.integers(0, 2**63 - 1)
POSITIONS = st.dictionaries(
    st.text(max_size=20), st.builds(LogPosition, NUMBERS, NUMBERS), max_size=5
)


@given(POSITIONS)
def test_token_round_trip(positions):
    assert read_token(KEY, build_token(KEY, positions)) == positions


@given(POSITIONS, st.data())
def test_modified_token_is_rejected(positions, data):
    token = build_token(KEY, positions)
    index = data.draw(st.integers(0, len(token) - 1))
    character = data.draw(
        st.characters(codec="ascii").filter(lambda c: c != token[index])
    )
    changed = token[:index] + character + token[index + 1 :]
    try:
        assert read_token(KEY, changed) == positions
    except RequestError as error:
        assert error.kind is ErrorKind.BAD_TOKEN


@given(st.text(max_size=100))
def test_arbitrary_text_is_rejected(text):
    with pytest.raises(RequestError) as caught:
        read_token(KEY, "1." + text)
    assert caught.value.kind is ErrorKind.BAD_TOKEN


@pytest.mark.parametrize(
    "text", ["", "1.", "2.AAAA", "1." + "A" * MAXIMUM_TOKEN_CHARACTERS]
)
def test_malformed_token_is_rejected(text):
    with pytest.raises(RequestError):
        read_token(KEY, text)


def test_token_signed_with_another_key_is_rejected():
    with pytest.raises(RequestError, match="signature"):
        read_token(KEY, build_token(b"other", {"a": LogPosition(1, 2)}))
