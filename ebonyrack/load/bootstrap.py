"""Writes the first operators' document into an empty store."""

from __future__ import annotations

from result import Err

from ebonyrack.config.document import parse_document
from ebonyrack.config.stored import DOCUMENT_KEY
from ebonyrack.config.stored import StoredDocument
from ebonyrack.config.stored import pack_stored
from ebonyrack.core.address import Address
from ebonyrack.core.settings import StoreSettings
from ebonyrack.store.consul_store import ConsulStore

FIRST_REVISION = 1


class BootstrapError(Exception):
    """The first document is invalid or could not be written."""


async def put_document(store_address: Address, prefix: str, text: str) -> None:
    """Validate a document and write it as the first revision.

    Args:
        store_address: Address of the platform's store.
        prefix: Prefix of the system's keys.
        text: The INI text.

    Raises:
        BootstrapError: If the document has errors, the store already holds one, or
            the store does not reply.
    """
    document, errors = parse_document(text, FIRST_REVISION)
    if document is None:
        raise BootstrapError("\n".join(str(error) for error in errors))
    stored = StoredDocument(FIRST_REVISION, text, ())
    settings = StoreSettings.model_validate(
        {"address": store_address, "prefix": prefix}
    )
    async with ConsulStore(settings) as store:
        written = await store.compare_and_swap(DOCUMENT_KEY, pack_stored(stored), 0)
    if isinstance(written, Err):
        raise BootstrapError(f"the store did not reply: {written.err_value.reason}")
    if not written.ok_value:
        raise BootstrapError("the store already holds a document")
