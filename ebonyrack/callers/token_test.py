import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.callers.token import MAXIMUM_CHARACTERS
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
def test_token_is_read_back(positions):
    assert read_token(KEY, build_token(KEY, positions)) == positions


@given(POSITIONS, st.data())
def test_changed_token_is_refused(positions, data):
    token = build_token(KEY, positions)
    place = data.draw(st.integers(0, len(token) - 1))
    letter = data.draw(st.characters(codec="ascii").filter(lambda c: c != token[place]))
    changed = token[:place] + letter + token[place + 1 :]
    try:
        assert read_token(KEY, changed) == positions
    except RequestError as error:
        assert error.kind is ErrorKind.BAD_TOKEN


@given(st.text(max_size=100))
def test_any_text_is_read_or_refused(text):
    with pytest.raises(RequestError) as caught:
        read_token(KEY, "1." + text)
    assert caught.value.kind is ErrorKind.BAD_TOKEN


@pytest.mark.parametrize("text", ["", "1.", "2.AAAA", "1." + "A" * MAXIMUM_CHARACTERS])
def test_other_forms_are_refused(text):
    with pytest.raises(RequestError):
        read_token(KEY, text)


def test_token_of_another_key_is_refused():
    with pytest.raises(RequestError, match="signature"):
        read_token(KEY, build_token(b"other", {"a": LogPosition(1, 2)}))
