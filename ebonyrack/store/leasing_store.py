"""Interface of a key-value store with leases, transactions and prefix watches."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct
from result import Result

from ebonyrack.store.store_response import StoreError


class StoreItem(Struct, frozen=True):
    """A key and its value.

    Attributes:
        key: The key.
        value: The value.
        revision: Store revision of the last change of the key.
        created_revision: Store revision at which the key was created.
    """

    key: str
    value: bytes
    revision: int
    created_revision: int


class StoreChanges(Struct, frozen=True):
    """Result of a watch, or all items with a prefix.

    Attributes:
        items: Items that were written.
        deleted: Keys that were deleted.
        revision: Revision at which the next watch continues.
        is_complete: Whether `items` are all items with the prefix rather than changes.
    """

    items: tuple[StoreItem, ...]
    deleted: tuple[str, ...]
    revision: int
    is_complete: bool = False


class StoreWrite(Struct, frozen=True):
    """A conditional write of one key in a transaction.

    Attributes:
        key: The key.
        value: The value.
        lease: Lease whose end deletes the key; 0 for none.
        expected_revision: Revision that the key must have; 0 if it must not exist.
    """

    key: str
    value: bytes
    lease: int
    expected_revision: int


class LeasingStore(Protocol):
    """The platform's store, as the proxy's components use it.

    Revisions and leases increase also across generations: the store starts a new one
    when it is restored from a copy, and forgets what was written since the copy.
    """

    @property
    def generation(self) -> int:
        """Number that grows each time the store was restored from a copy."""

    @property
    def generation_seen_s(self) -> float:
        """Time at which this process first saw the generation, on the boot clock."""

    async def read_prefix(
        self, prefix: str, allow_stale: bool = False
    ) -> Result[StoreChanges, StoreError]:
        """Read all items with a prefix; stale reads cost the store less."""

    async def watch_prefix(
        self, prefix: str, revision: int, wait_s: float
    ) -> Result[StoreChanges | None, StoreError]:
        """Wait for changes after a revision; None if their history is lost."""

    async def write(self, write: StoreWrite) -> Result[int | None, StoreError]:
        """Write a key conditionally; return its revision, None if the check failed."""

    async def delete(self, key: str, revision: int) -> Result[bool, StoreError]:
        """Delete a key if it still has a revision; return whether it was deleted."""

    async def read_key(self, key: str) -> Result[StoreItem | None, StoreError]:
        """Read one key."""

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Grant a lease and return its number."""

    async def renew_lease(self, lease: int) -> Result[bool, StoreError]:
        """Renew a lease; return whether it still existed."""
