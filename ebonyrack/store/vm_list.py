"""The platform's list of live and leaving VMs."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from result import Err
from result import Ok
from result import Result

from ebonyrack.store.consul_store import ConsulStore
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.store_response import StoreErrorKind
from ebonyrack.store.store_response import StoreResponse

NODES_PATH = "/v1/catalog/nodes"
LEAVING_STATE = "leaving"


@dataclass(frozen=True, slots=True)
class VmListing:
    """One answer of the VM list.

    Attributes:
        index: Index that the next watch names.
        leaving: Names of the VMs that are leaving.
    """

    index: int
    leaving: frozenset[str]


EMPTY_LISTING = VmListing(0, frozenset())


class VmList:
    """Client of the VM list. The list lags behind reality, so it is a hint.

    Attributes:
        store: The store's client; the list is part of the same service.
        listing: The last answer.
    """

    __slots__ = ("store", "listing")

    def __init__(self, store: ConsulStore) -> None:
        self.store = store
        self.listing = EMPTY_LISTING

    @property
    def leaving(self) -> frozenset[str]:
        """Names of the leaving VMs, as last heard."""
        return self.listing.leaving

    async def watch(self, wait_s: float) -> Result[VmListing, StoreError]:
        """Wait for a change of the list and take it over.

        Args:
            wait_s: Seconds after which the store answers in any case.

        Returns:
            The list, or why it isn't known.
        """
        answer = await self.store.watch_path(
            "watch_vms", NODES_PATH, self.listing.index, wait_s
        )
        found = answer.and_then(read_listing)
        if isinstance(found, Ok):
            self.listing = found.ok_value
        return found

    def update_if_newer(self, listing: VmListing) -> bool:
        """Take over what a peer heard, unless it is older.

        Args:
            listing: The peer's list.

        Returns:
            Whether it was newer.
        """
        if listing.index <= self.listing.index:
            return False
        self.listing = listing
        return True


def read_listing(answer: StoreResponse) -> Result[VmListing, StoreError]:
    """Read the names of the leaving VMs out of an answer."""
    try:
        nodes: list[dict[str, Any]] = json.loads(answer.body)
        leaving = frozenset(
            str(node["Node"])
            for node in nodes
            if (node.get("Meta") or {}).get("state") == LEAVING_STATE
        )
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        return Err(StoreError(StoreErrorKind.UNKNOWN, f"bad answer: {error!r}"))
    return Ok(VmListing(answer.index, leaving))
