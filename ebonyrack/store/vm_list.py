"""The platform's list of live and leaving VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from result import Err
from result import Ok
from result import Result

from ebonyrack.core.decoding import DECODING_ERRORS
from ebonyrack.core.decoding import parse_json
from ebonyrack.store.consul_store import ConsulStore
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.store_response import StoreErrorKind
from ebonyrack.store.store_response import StoreResponse

NODES_PATH = "/v1/catalog/nodes"
LEAVING_STATE = "leaving"


@dataclass(frozen=True, slots=True)
class VmListing:
    """One version of the VM list.

    Attributes:
        index: Index at which the next watch continues.
        leaving: Names of the leaving VMs.
    """

    index: int
    leaving: frozenset[str]


EMPTY_LISTING = VmListing(0, frozenset())


class VmList:
    """Client of the VM list, which may be out of date and serves only as a hint.

    Attributes:
        store: Client of the store; the same service provides the list.
        listing: The latest known version.
    """

    __slots__ = ("store", "listing")

    def __init__(self, store: ConsulStore) -> None:
        self.store = store
        self.listing = EMPTY_LISTING

    @property
    def leaving(self) -> frozenset[str]:
        """Names of the leaving VMs in the latest known version."""
        return self.listing.leaving

    async def watch(self, wait_s: float) -> Result[VmListing, StoreError]:
        """Wait for a change of the list and store the new version.

        Args:
            wait_s: Seconds after which the store responds in any case.

        Returns:
            The list, or the error.
        """
        response = await self.store.watch_path(
            "watch_vms", NODES_PATH, self.listing.index, wait_s
        )
        found = response.and_then(read_listing)
        if isinstance(found, Ok):
            self.listing = found.ok_value
        return found

    def update_if_newer(self, listing: VmListing) -> bool:
        """Replace the known version by a peer's if that is newer.

        Args:
            listing: The peer's version.

        Returns:
            Whether it was newer.
        """
        if listing.index <= self.listing.index:
            return False
        self.listing = listing
        return True


def read_listing(response: StoreResponse) -> Result[VmListing, StoreError]:
    """Read the leaving VMs from a response."""
    try:
        nodes: list[dict[str, Any]] = parse_json(response.body)
        if not isinstance(nodes, list):
            raise TypeError("the VMs must be a list")
        leaving = frozenset(
            str(node["Node"])
            for node in nodes
            if (node.get("Meta") or {}).get("state") == LEAVING_STATE
        )
    except DECODING_ERRORS as error:
        return Err(StoreError(StoreErrorKind.UNKNOWN, f"malformed response: {error!r}"))
    return Ok(VmListing(response.index, leaving))
