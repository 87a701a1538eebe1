"""The document in force in a process."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from ebonyrack.config.document import EMPTY_DOCUMENT
from ebonyrack.config.document import Document
from ebonyrack.config.document import parse_document
from ebonyrack.config.stored import EMPTY_STORED
from ebonyrack.config.stored import BadStoredDocumentError
from ebonyrack.config.stored import StoredDocument
from ebonyrack.config.stored import unpack_stored

Callback = Callable[[Document], None]


class ConfigurationState:
    """Holds the document in force, which is only replaced as a whole.

    A request reads `document` once and uses that record to its end, so that it
    sees a single revision.

    Attributes:
        document: The document in force.
        stored: Its stored form, for peers and edits.
        rejected_revision: Highest revision that this process could not parse.
        callbacks: Called with each new document.
    """

    __slots__ = ("document", "stored", "rejected_revision", "callbacks")

    def __init__(self) -> None:
        self.document = EMPTY_DOCUMENT
        self.stored = EMPTY_STORED
        self.rejected_revision = 0
        self.callbacks: list[Callback] = []

    @property
    def revision(self) -> int:
        """Number of the revision in force."""
        return self.document.revision

    def subscribe(self, callback: Callback) -> None:
        """Register a function to call with each new document."""
        self.callbacks.append(callback)

    def apply_bytes_if_newer(self, data: bytes, source: str) -> bool:
        """Decode a stored document and put it in force if it is newer.

        Args:
            data: The stored form.
            source: Where it came from, for the log.

        Returns:
            Whether it is in force now.
        """
        try:
            stored = unpack_stored(data)
        except BadStoredDocumentError as error:
            logger.bind(source=source, reason=str(error)).error("document_unreadable")
            return False
        return self.apply_if_newer(stored, source)

    def apply_if_newer(self, stored: StoredDocument, source: str) -> bool:
        """Put a document in force if its revision is higher than the current one.

        Args:
            stored: The document.
            source: Where it came from, for the log.

        Returns:
            Whether it is in force now.
        """
        if stored.revision <= self.revision:
            self.log_not_newer(stored, source)
            return False
        document, errors = parse_document(
            stored.text, stored.revision, previous=self.document
        )
        if document is None:
            self.rejected_revision = max(self.rejected_revision, stored.revision)
            reasons = [str(error) for error in errors]
            logger.bind(source=source, revision=stored.revision, reasons=reasons).error(
                "document_rejected"
            )
            return False
        self.stored = stored
        self.document = document
        logger.bind(source=source, revision=stored.revision).info("document_in_force")
        for callback in tuple(self.callbacks):
            callback(document)
        return True

    def log_not_newer(self, stored: StoredDocument, source: str) -> None:
        """Log a document that is older than the current one or conflicts with it."""
        if stored.revision < self.revision:
            logger.bind(
                source=source, revision=stored.revision, present=self.revision
            ).debug("document_not_newer")
        elif stored.text != self.stored.text:
            logger.bind(source=source, revision=stored.revision).error(
                "document_conflict"
            )
