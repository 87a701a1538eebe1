"""Fixtures: streams that are filled by a test."""

import asyncio
from collections.abc import Callable

import pytest

from ebonyrack.core.line_stream import LineStream


class FakeTransport(asyncio.Transport):
    """Keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = b""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Keep bytes."""
        self.sent += bytes(data)

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Take any limit."""

    def abort(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


@pytest.fixture
def feed() -> Callable[[bytes], LineStream]:
    """Return a function that builds a stream that holds bytes and has ended."""

    def build(data: bytes) -> LineStream:
        stream = LineStream()
        stream.connection_made(FakeTransport())
        stream.buffer += data
        stream.mark_lost("the other side closed the connection")
        return stream

    return build
