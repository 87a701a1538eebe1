"""Answers recorded under an idempotency key, given again to a repeat."""

from __future__ import annotations

import base64
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgpack

from ebonyrack.callers.prepared import HEADER
from ebonyrack.callers.relay import FLUSH_BYTES
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError

if TYPE_CHECKING:
    from ebonyrack.callers.exchange import Request
    from ebonyrack.callers.relay import Relay

COMMIT_TAG = "COMMIT"
TAG_SEPARATOR = "\n"
# No list of command tags starts with it.
PACKED_PREFIX = "answer:"
MAXIMUM_PACKED_BYTES = 8 * 1024
# ParameterDescription, RowDescription and DataRow: what tags alone can't tell.
DESCRIBING_KINDS = frozenset({b"t", b"T", b"D"})
# With NoData, CommandComplete, EmptyQueryResponse and PortalSuspended.
RECORDED_KINDS = DESCRIBING_KINDS | {b"n", b"C", b"I", b"s"}


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """What the first request with a key was told.

    Attributes:
        tags: Command tag of each command.
        fingerprint: What a repeat must match to get the frames; empty without them.
        frames: Frames of the answer; empty if the tags tell all.
    """

    tags: tuple[str, ...]
    fingerprint: bytes = b""
    frames: tuple[bytes, ...] = ()


def build_recorded_answer(
    application: str, request: Request, relay: Relay
) -> RecordedAnswer:
    """Make the record of an answer that is still held.

    Args:
        application: The caller's application.
        request: The request.
        relay: Its answer, up to ReadyForQuery and without an error.

    Returns:
        The record.

    Raises:
        RequestError: UNSUPPORTED if part of the answer has gone to the caller, since
            it was too large to be held.
    """
    if relay.has_sent:
        raise build_too_large_error(FLUSH_BYTES)
    frames = tuple(
        frame for frame in split_frames(relay.output) if frame[:1] in RECORDED_KINDS
    )
    tags = tuple(relay.tags)
    if not any(frame[:1] in DESCRIBING_KINDS for frame in frames):
        return RecordedAnswer(tags)
    return RecordedAnswer(tags, build_fingerprint(application, request), frames)


def build_fingerprint(application: str, request: Request) -> bytes:
    """Make what a repeat must have in common with the request that was answered.

    Args:
        application: The caller's application; no other one gets its rows.
        request: The request.

    Returns:
        The form.
    """
    return application.encode() + b"\x00" + request.answer_format


def split_frames(data: bytes | bytearray) -> Iterator[bytes]:
    """Split whole frames.

    Args:
        data: The frames.

    Yields:
        Each frame.
    """
    start = 0
    while start < len(data):
        _, length = HEADER.unpack_from(data, start)
        end = start + length + 1
        yield bytes(data[start:end])
        start = end


def encode_answer(answer: RecordedAnswer) -> str:
    """Encode an answer for the key's row.

    Args:
        answer: The answer.

    Returns:
        The tags alone if they tell all, else a prefix and packed bytes.

    Raises:
        RequestError: UNSUPPORTED if it is too large to be kept.
    """
    if not answer.frames:
        return TAG_SEPARATOR.join(answer.tags)
    packed = msgpack.packb([answer.tags, answer.fingerprint, answer.frames])
    if len(packed) > MAXIMUM_PACKED_BYTES:
        raise build_too_large_error(len(packed))
    return PACKED_PREFIX + base64.b64encode(packed).decode("ascii")


def decode_answer(text: str) -> RecordedAnswer:
    """Decode what `encode_answer` built.

    Args:
        text: Outcome in the key's row.

    Returns:
        The answer.

    Raises:
        RequestError: ALREADY_RAN if it can't be decoded.
    """
    if not text.startswith(PACKED_PREFIX):
        return RecordedAnswer(tuple(text.split(TAG_SEPARATOR)))
    try:
        packed = base64.b64decode(text.removeprefix(PACKED_PREFIX), validate=True)
        tags, fingerprint, frames = msgpack.unpackb(packed)
    except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
        reason = f"its answer can't be read: {error}"
        raise RequestError(ErrorKind.ALREADY_RAN, reason) from error
    return RecordedAnswer(tuple(tags), fingerprint, tuple(frames))


def build_repeated_answer(application: str, request: Request, outcome: str) -> bytes:
    """Build the answer to the repeat of a request that ran earlier.

    Args:
        application: The caller's application.
        request: The repeat.
        outcome: Outcome in the key's row.

    Returns:
        The frames.

    Raises:
        RequestError: ALREADY_RAN if the earlier request was a transaction, or the
            repeat has another form and would get rows that it can't read.
    """
    answer = decode_answer(outcome)
    if not answer.frames:
        if answer.tags in ((COMMIT_TAG,), ("",)):
            reason = f"within a transaction, outcome {outcome or 'not recorded'}"
            raise RequestError(ErrorKind.ALREADY_RAN, reason)
        return request.build_replay(answer.tags)
    if answer.fingerprint == build_fingerprint(application, request):
        return request.build_replay(answer.tags, answer.frames)
    reason = "its answer was recorded for another form of the request"
    raise RequestError(ErrorKind.ALREADY_RAN, reason)


def build_too_large_error(size_bytes: int) -> RequestError:
    """Build the error for an answer that can't be kept; nothing is committed.

    Args:
        size_bytes: Its size, or that of a part of it.

    Returns:
        The error.
    """
    reason = (
        f"the rows of the answer take {size_bytes} bytes or more,"
        f" {MAXIMUM_PACKED_BYTES} are kept with an idempotency key"
    )
    return RequestError(ErrorKind.UNSUPPORTED, reason)
