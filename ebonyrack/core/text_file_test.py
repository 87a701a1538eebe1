from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.core.text_file import list_lines
from ebonyrack.core.text_file import read_text
from ebonyrack.core.text_file import split_lines

TEXTS = st.text(
    st.sampled_from("ab=\n\r\x0b\x0c\x1c\x1d\x1e\x85\u2028\u2029\t "), max_size=30
)


@given(TEXTS)
def test_lines_end_at_line_feeds_only(text):
    assert "".join(list_lines(text)) == text
    ends = [line for line in list_lines(text) if line.endswith("\n")]
    assert len(ends) == text.count("\n")
    assert all("\n" not in line for line in split_lines(text))


def test_carriage_return_before_the_end_belongs_to_it():
    assert split_lines("a=1\r\nb=\r2\n\nc") == ["a=1", "b=\r2", "", "c"]
    assert split_lines("") == []


def test_lone_carriage_return_in_a_file_is_kept(tmp_path):
    # The default of Path.read_text makes it a line feed.
    path = tmp_path / "file"
    path.write_bytes(b"a=1\r2\r\nb=\xc2\x853\n")
    assert read_text(path) == "a=1\r2\nb=\x853\n"
