"""Answers recorded under an idempotency key and replayed to repeated requests."""

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
# Marks a packed answer, as no list of command tags starts with it.
PACKED_PREFIX = "answer:"
MAXIMUM_PACKED_BYTES = 8 * 1024
# ParameterDescription, RowDescription and DataRow, which tags alone can't replace.
DESCRIBING_KINDS = frozenset({b"t", b"T", b"D"})
# These and NoData, CommandComplete, EmptyQueryResponse and PortalSuspended.
RECORDED_KINDS = DESCRIBING_KINDS | {b"n", b"C", b"I", b"s"}


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """Answer to the first request with an idempotency key.

    Attributes:
        tags: Command tag of each command.
        fingerprint: Value that a repeat must match to get the frames; empty if there
            are none.
        frames: Frames of the answer; empty if the tags are sufficient.
    """

    tags: tuple[str, ...]
    fingerprint: bytes = b""
    frames: tuple[bytes, ...] = ()


def build_recorded_answer(
    application: str, request: Request, relay: Relay
) -> RecordedAnswer:
    """Build the record of an answer that is still held back.

    Args:
        application: The caller's application.
        request: The request.
        relay: Relay of its answer, up to ReadyForQuery and without an error.

    Returns:
        The record.

    Raises:
        RequestError: UNSUPPORTED if part of the answer has been sent to the caller,
            as it was too large to be held back.
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
    """Build the value that a repeat must share with the answered request.

    Args:
        application: The caller's application; no other one gets its rows.
        request: The request.

    Returns:
        The fingerprint.
    """
    return application.encode() + b"\x00" + request.answer_format


def split_frames(data: bytes | bytearray) -> Iterator[bytes]:
    """Split a sequence of whole frames.

    Args:
        data: The sequence.

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
    """Encode an answer for storage in the key's row.

    Args:
        answer: The answer.

    Returns:
        The tags alone if they are sufficient, else a prefix and the packed answer.

    Raises:
        RequestError: UNSUPPORTED if it is too large to be stored.
    """
    if not answer.frames:
        return TAG_SEPARATOR.join(answer.tags)
    packed = msgpack.packb([answer.tags, answer.fingerprint, answer.frames])
    if len(packed) > MAXIMUM_PACKED_BYTES:
        raise build_too_large_error(len(packed))
    return PACKED_PREFIX + base64.b64encode(packed).decode("ascii")


def decode_answer(text: str) -> RecordedAnswer:
    """Decode an answer that `encode_answer` has encoded.

    Args:
        text: Outcome stored in the key's row.

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
        reason = f"its recorded answer can't be decoded: {error}"
        raise RequestError(ErrorKind.ALREADY_RAN, reason) from error
    return RecordedAnswer(tuple(tags), fingerprint, tuple(frames))


def build_repeated_answer(application: str, request: Request, outcome: str) -> bytes:
    """Build the answer to a repeated request from the recorded outcome.

    Args:
        application: The caller's application.
        request: The repeated request.
        outcome: Outcome stored in the key's row.

    Returns:
        The frames.

    Raises:
        RequestError: ALREADY_RAN if the earlier request was a transaction, or if the
            repeat has another fingerprint: it could not read the recorded rows or
            must not see them.
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
    """Build the error for an answer too large to record; nothing is committed.

    Args:
        size_bytes: Size of the answer or of a part of it.

    Returns:
        The error.
    """
    reason = (
        f"the rows of the answer take {size_bytes} bytes or more,"
        f" {MAXIMUM_PACKED_BYTES} can be recorded with an idempotency key"
    )
    return RequestError(ErrorKind.UNSUPPORTED, reason)
