"""Messages of the line protocol as the systems around a proxy read and write them.

A message ends at CR LF and nowhere else. Texts hold bytes that are not UTF-8 as
surrogates, so that they are carried unchanged.
"""

from __future__ import annotations

import asyncio

LINE_END = b"\r\n"
MAXIMUM_MESSAGE_BYTES = 1024 * 1024


def decode_text(data: bytes) -> str:
    """Return bytes as text."""
    return data.decode("utf-8", "surrogateescape")


def encode_message(text: str) -> bytes:
    """Return a message with its end."""
    return text.encode("utf-8", "surrogateescape") + LINE_END


async def read_message(reader: asyncio.StreamReader) -> str | None:
    """Return the next message without its end; None at the end of the stream.

    Raises:
        ConnectionError: If the message exceeds the reader's limit.
    """
    try:
        data = await reader.readuntil(LINE_END)
    except asyncio.IncompleteReadError:
        return None
    except asyncio.LimitOverrunError as error:
        raise ConnectionAbortedError("the message is too long") from error
    return decode_text(data.removesuffix(LINE_END))
