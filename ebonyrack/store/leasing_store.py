"""Interface of a store with leases, transactions and watches of a prefix."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from result import Result

from ebonyrack.store.store_response import StoreError


@dataclass(frozen=True, slots=True)
class StoreItem:
    """A key with its value.

    Attributes:
        key: The key.
        value: The value.
        revision: Revision of the store at the last change of the key.
        created_revision: Revision at which the key was created.
    """

    key: str
    value: bytes
    revision: int
    created_revision: int


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """What a watch brought, or the whole of a prefix.

    Attributes:
        items: Items that were written.
        deleted: Keys that are gone.
        revision: Revision from which the next watch goes on.
        is_complete: Whether `items` is all there is, in place of a change.
    """

    items: tuple[StoreItem, ...]
    deleted: tuple[str, ...]
    revision: int
    is_complete: bool = False


@dataclass(frozen=True, slots=True)
class StoreWrite:
    """One key to write in a transaction.

    Attributes:
        key: The key.
        value: The value.
        lease: Lease with which the key ends; 0 for none.
        expected_revision: Revision that the key must have; 0 if it must not exist.
    """

    key: str
    value: bytes
    lease: int
    expected_revision: int


class LeasingStore(Protocol):
    """What the parts of a proxy use of the platform's store."""

    async def read_prefix(
        self, prefix: str, allow_stale: bool = False
    ) -> Result[StoreChanges, StoreError]:
        """Read all keys with a prefix; stale reads cost the store less."""

    async def watch_prefix(
        self, prefix: str, revision: int, wait_s: float
    ) -> Result[StoreChanges | None, StoreError]:
        """Wait for changes after a revision; None if their history is lost."""

    async def write(self, write: StoreWrite) -> Result[int | None, StoreError]:
        """Write a key on a condition; return the revision, None if it did not hold."""

    async def delete(self, key: str, revision: int) -> Result[bool, StoreError]:
        """Delete a key that is still at a revision; return whether it was."""

    async def read_key(self, key: str) -> Result[StoreItem | None, StoreError]:
        """Read one key."""

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Start a lease."""

    async def renew_lease(self, lease: int) -> Result[bool, StoreError]:
        """Renew a lease; return whether it was still there."""
