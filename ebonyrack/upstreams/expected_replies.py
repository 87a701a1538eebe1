"""Counts the answers that messages to an upstream ask for."""

from __future__ import annotations

import struct

from ebonyrack.upstreams.transport import HEADER

# Query, Sync and FunctionCall are each answered with one ReadyForQuery.
KINDS_ANSWERED_READY = frozenset({b"Q", b"S", b"F"})


def count_expected_replies(data: bytes, is_unsynced: bool) -> tuple[int, bool]:
    """Count the ReadyForQuery answers that messages ask for.

    Args:
        data: Whole frontend messages.
        is_unsynced: Whether earlier messages still wait for a Sync.

    Returns:
        The number of answers, and whether messages are left without a Sync.

    Raises:
        ValueError: If the data does not end with a whole message.
    """
    due = 0
    offset = 0
    while offset < len(data):
        try:
            kind, length = HEADER.unpack_from(data, offset)
        except struct.error:
            raise ValueError("the data ends within a message header") from None
        answered = kind in KINDS_ANSWERED_READY
        due += answered
        is_unsynced = not answered
        offset += length + 1
    if offset != len(data):
        raise ValueError("the data does not end with a whole message")
    return due, is_unsynced
