"""Answers to the messages of a pipeline that no upstream is asked for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pygwire.messages import BindComplete
from pygwire.messages import CloseComplete
from pygwire.messages import NoData
from pygwire.messages import ParameterDescription
from pygwire.messages import ParseComplete

from ebonyrack.callers.answers import build_command_complete

if TYPE_CHECKING:
    from collections import deque

    from ebonyrack.callers.chunk import ChunkItem

PARSE_COMPLETE = ParseComplete().to_wire()
BIND_COMPLETE = BindComplete().to_wire()
CLOSE_COMPLETE = CloseComplete().to_wire()
NO_DATA = NoData().to_wire()
NO_PARAMETERS = ParameterDescription(type_oids=[]).to_wire()
LOCAL_ANSWERS = {
    b"P": PARSE_COMPLETE,
    b"B": BIND_COMPLETE,
    b"C": CLOSE_COMPLETE,
    b"D": NO_DATA,
}
# Kinds of messages whose answer is recorded, and the kinds of frames that end it.
ANSWER_END_KINDS = {b"D": frozenset({b"T", b"n"}), b"E": frozenset({b"C", b"I", b"s"})}


def build_answer_from_tags(items: list[ChunkItem], tags: deque[str]) -> bytes:
    """Build the answer to commands that answer no rows.

    Args:
        items: The messages.
        tags: Command tag of each Execute.

    Returns:
        The frames.
    """
    answer = bytearray()
    for item in items:
        kind = item.message.kind
        if kind == b"E":
            answer += build_command_complete(tags.popleft() if tags else "")
        elif kind == b"D" and item.message.targets_statement:
            answer += NO_PARAMETERS + NO_DATA
        else:
            answer += LOCAL_ANSWERS[kind]
    return bytes(answer)


def build_answer_from_frames(items: list[ChunkItem], frames: deque[bytes]) -> bytes:
    """Build the answer from frames that were recorded for the same messages.

    Args:
        items: The messages.
        frames: Answers to each Describe and Execute.

    Returns:
        The frames.
    """
    answer = bytearray()
    for item in items:
        last_kinds = ANSWER_END_KINDS.get(item.message.kind)
        if last_kinds is None:
            answer += LOCAL_ANSWERS[item.message.kind]
            continue
        frame = b""
        while frame[:1] not in last_kinds:
            frame = frames.popleft()
            answer += frame
    return bytes(answer)
