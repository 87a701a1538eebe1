import pytest

from ebonyrack.core.line_stream import MAXIMUM_LINE_BYTES
from ebonyrack.core.line_stream import LineStream
from ebonyrack.core.line_stream import LineTooLongError


class CountingBuffer(bytearray):
    """Counts the bytes in which an end was searched."""

    searched_bytes = 0

    def find(self, part, start=0):
        self.searched_bytes += len(self) - start
        return super().find(part, start)


@pytest.mark.parametrize("byte", [b"x", b"\r", b"\n", b"\n\rx"])
@pytest.mark.parametrize("piece_bytes", [1, 7, 1448])
def test_search_for_the_end_costs_each_received_byte_once(byte, piece_bytes):
    # A carriage return in the last place is looked at once more with what follows it.
    stream = LineStream()
    stream.is_paused = True
    stream.buffer = CountingBuffer()
    data = byte * 20_000 + b"\r\n"
    pieces = range(0, len(data), piece_bytes)
    lines = []
    for start in pieces:
        stream.data_received(data[start : start + piece_bytes])
        lines.append(stream.pop_line())
    assert lines[-1] == data[:-2] and not any(lines[:-1])
    assert stream.buffer.searched_bytes <= len(data) + len(pieces)


@pytest.mark.parametrize("byte", [b"x", b"\r", b"\n"])
def test_line_without_an_end_is_found_too_long_at_the_limit(byte):
    stream = LineStream()
    stream.buffer += byte * MAXIMUM_LINE_BYTES
    assert stream.pop_line() is None
    stream.buffer += b"\r"
    if byte != b"\r":
        # It may be half of the end of the longest line.
        assert stream.pop_line() is None
    stream.buffer += byte
    if byte == b"\n":
        assert len(stream.pop_line()) == MAXIMUM_LINE_BYTES
    else:
        with pytest.raises(LineTooLongError):
            stream.pop_line()
