"""The stored form of the document: text, revision and bounded history."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any

import msgpack

from ebonyrack.store.consul_store import MAXIMUM_VALUE_BYTES

DOCUMENT_KEY = "document"
FORMAT = 1
HISTORY_LIMIT = 500
COMPRESSION_LEVEL = 6
MAXIMUM_UNPACKED_BYTES = 8 * MAXIMUM_VALUE_BYTES


class BadStoredDocumentError(Exception):
    """Bytes that are no stored document."""


@dataclass(frozen=True, slots=True)
class EditRecord:
    """One accepted edit.

    Attributes:
        revision: Revision that it made.
        edit_id: Identity of the edit.
        operator: Who made it.
        accepted_at: Wall-clock time of the proxy that accepted it, in seconds
            since 1970; for people, and for the pause between changes of the
            upstreams of one group.
        sections: Titles of the sections that it changed.
    """

    revision: int
    edit_id: str
    operator: str
    accepted_at: int
    sections: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StoredDocument:
    """One revision as the store and the peers hold it.

    Attributes:
        revision: Number of the revision; 0 is the empty document.
        text: The INI text.
        history: The last edits, oldest first.
    """

    revision: int
    text: str
    history: tuple[EditRecord, ...]

    def find_edit(self, edit_id: str) -> EditRecord | None:
        """Return the edit of an identity, or None."""
        for record in reversed(self.history):
            if record.edit_id == edit_id:
                return record
        return None

    def reaches_back_to(self, revision: int) -> bool:
        """Tell whether the history holds every edit after a revision."""
        return not self.history or self.history[0].revision <= revision + 1


EMPTY_STORED = StoredDocument(0, "", ())


def pack_stored(stored: StoredDocument) -> bytes:
    """Encode a stored document."""
    history = [list_record(edit) for edit in stored.history]
    content = [FORMAT, stored.revision, stored.text, history]
    return zlib.compress(msgpack.packb(content), COMPRESSION_LEVEL)


def unpack_stored(data: bytes) -> StoredDocument:
    """Decode a stored document.

    Args:
        data: What `pack_stored` made.

    Returns:
        The stored document.

    Raises:
        BadStoredDocumentError: If the bytes are something else.
    """
    try:
        decompressor = zlib.decompressobj()
        packed = decompressor.decompress(data, MAXIMUM_UNPACKED_BYTES)
        if not decompressor.eof:
            raise ValueError("the document is cut short or too large")
        content: Any = msgpack.unpackb(packed)
        version, revision, text, history = content
        if version != FORMAT or not isinstance(text, str):
            raise ValueError(f"format {version!r} isn't known")
        return StoredDocument(int(revision), text, tuple(map(read_record, history)))
    except (zlib.error, ValueError, TypeError, msgpack.UnpackException) as error:
        raise BadStoredDocumentError(f"not a stored document: {error!r}") from error


def list_record(edit: EditRecord) -> list[Any]:
    """List the fields of one edit."""
    return [
        edit.revision,
        edit.edit_id,
        edit.operator,
        edit.accepted_at,
        list(edit.sections),
    ]


def trim_history(history: tuple[EditRecord, ...]) -> tuple[EditRecord, ...]:
    """Return the newest edits, as many as are kept."""
    return history[-HISTORY_LIMIT:]


def read_record(fields: Any) -> EditRecord:
    """Read one edit of the history."""
    revision, edit_id, operator, accepted_at, sections = fields
    return EditRecord(
        int(revision), str(edit_id), str(operator), int(accepted_at), tuple(sections)
    )
