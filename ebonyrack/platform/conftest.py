"""Fixtures: streams whose input is given by a test."""

import asyncio
from collections.abc import Callable

import pytest

from ebonyrack.core.line_stream import LineStream


class FakeTransport(asyncio.Transport):
    """Records the bytes that are written."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = b""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Record bytes."""
        self.sent += bytes(data)

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Accept any limit."""

    def abort(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


@pytest.fixture
def feed() -> Callable[[bytes], LineStream]:
    """Return a function that builds an ended stream with the given bytes buffered."""

    def build(data: bytes) -> LineStream:
        stream = LineStream()
        stream.connection_made(FakeTransport())
        stream.buffer += data
        stream.mark_lost("the other side closed the connection")
        return stream

    return build
