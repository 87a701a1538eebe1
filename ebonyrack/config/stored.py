"""The stored form of the document: text, revision and bounded history."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any

import msgpack

from ebonyrack.core.decoding import DECODING_ERRORS
from ebonyrack.store.consul_store import MAXIMUM_VALUE_BYTES

DOCUMENT_KEY = "document"
FORMAT_VERSION = 1
HISTORY_LIMIT = 500
COMPRESSION_LEVEL = 6
MAXIMUM_UNPACKED_BYTES = 8 * MAXIMUM_VALUE_BYTES


class BadStoredDocumentError(Exception):
    """Raised for bytes that are not a stored document."""


@dataclass(frozen=True, slots=True)
class EditRecord:
    """One accepted edit.

    Attributes:
        revision: Revision that it created.
        edit_id: Identity of the edit.
        operator: Name of the operator who made it.
        accepted_at: Wall-clock time of the proxy that accepted it, in seconds
            since 1970; for people, and for the minimum interval between changes
            of the upstreams of one group.
        sections: Titles of the sections that it changed.
    """

    revision: int
    edit_id: str
    operator: str
    accepted_at: int
    sections: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StoredDocument:
    """One revision in the form that the store and the peers hold.

    Attributes:
        revision: Number of the revision; 0 is the empty document.
        text: The INI text.
        history: The latest edits, oldest first.
    """

    revision: int
    text: str
    history: tuple[EditRecord, ...]

    def find_edit(self, edit_id: str) -> EditRecord | None:
        """Return the record of an edit by its identity, or None."""
        for record in reversed(self.history):
            if record.edit_id == edit_id:
                return record
        return None

    def covers_edits_after(self, revision: int) -> bool:
        """Return whether the history holds every edit after a revision."""
        return not self.history or self.history[0].revision <= revision + 1


EMPTY_STORED = StoredDocument(0, "", ())


def pack_stored(stored: StoredDocument) -> bytes:
    """Encode a stored document."""
    history = [encode_record(edit) for edit in stored.history]
    content = [FORMAT_VERSION, stored.revision, stored.text, history]
    return zlib.compress(msgpack.packb(content), COMPRESSION_LEVEL)


def unpack_stored(data: bytes) -> StoredDocument:
    """Decode a stored document.

    Args:
        data: Output of `pack_stored`.

    Returns:
        The stored document.

    Raises:
        BadStoredDocumentError: If the bytes are anything else.
    """
    try:
        decompressor = zlib.decompressobj()
        packed = decompressor.decompress(data, MAXIMUM_UNPACKED_BYTES)
        if not decompressor.eof:
            raise ValueError("the document is truncated or too large")
        content: Any = msgpack.unpackb(packed)
        version, revision, text, history = content
        if version != FORMAT_VERSION or not isinstance(text, str):
            raise ValueError(f"unknown format {version!r}")
        return StoredDocument(int(revision), text, tuple(map(decode_record, history)))
    except (zlib.error, msgpack.UnpackException, *DECODING_ERRORS) as error:
        raise BadStoredDocumentError(
            f"not a stored document: {error!r:.200}"
        ) from error


def encode_record(edit: EditRecord) -> list[Any]:
    """Encode one edit of the history as a list of its fields."""
    return [
        edit.revision,
        edit.edit_id,
        edit.operator,
        edit.accepted_at,
        list(edit.sections),
    ]


def trim_history(history: tuple[EditRecord, ...]) -> tuple[EditRecord, ...]:
    """Return the newest edits, at most `HISTORY_LIMIT`."""
    return history[-HISTORY_LIMIT:]


def decode_record(fields: Any) -> EditRecord:
    """Decode one edit of the history from the list of its fields."""
    revision, edit_id, operator, accepted_at, sections = fields
    return EditRecord(
        int(revision), str(edit_id), str(operator), int(accepted_at), tuple(sections)
    )
