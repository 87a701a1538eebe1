"""Counts the ReadyForQuery replies that messages to an upstream lead to."""

from __future__ import annotations

import struct

from ebonyrack.upstreams.transport import HEADER

# The replies to Query, Sync and FunctionCall each end in one ReadyForQuery.
KINDS_ENDING_IN_READY = frozenset({b"Q", b"S", b"F"})


def count_expected_replies(data: bytes, is_unsynced: bool) -> tuple[int, bool]:
    """Count the ReadyForQuery replies that messages lead to.

    Args:
        data: Whole frontend messages.
        is_unsynced: Whether earlier messages have not been followed by a Sync yet.

    Returns:
        The number of replies, and whether messages are left without a Sync.

    Raises:
        ValueError: If the data does not end with a whole message.
    """
    expected = 0
    offset = 0
    while offset < len(data):
        try:
            kind, length = HEADER.unpack_from(data, offset)
        except struct.error:
            raise ValueError("the data ends within a message header") from None
        ends_in_ready = kind in KINDS_ENDING_IN_READY
        expected += ends_in_ready
        is_unsynced = not ends_in_ready
        offset += length + 1
    if offset != len(data):
        raise ValueError("the data does not end with a whole message")
    return expected, is_unsynced
