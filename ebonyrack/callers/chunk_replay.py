"""Answers to pipeline messages that the proxy builds without an upstream."""

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
# Message kinds whose answers are recorded, with the frame kinds that end an answer.
ANSWER_END_KINDS = {b"D": frozenset({b"T", b"n"}), b"E": frozenset({b"C", b"I", b"s"})}


def build_answer_from_tags(items: list[ChunkItem], tags: deque[str]) -> bytes:
    """Build the answer to commands that return no rows.

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
        end_kinds = ANSWER_END_KINDS.get(item.message.kind)
        if end_kinds is None:
            answer += LOCAL_ANSWERS[item.message.kind]
            continue
        frame = b""
        while frame[:1] not in end_kinds:
            frame = frames.popleft()
            answer += frame
    return bytes(answer)
