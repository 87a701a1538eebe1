"""The entry with which an upstream registers in the platform's store."""

from __future__ import annotations

from msgspec import Struct

from ebonyrack.core.address import Address


class MemberEntry(Struct, frozen=True):
    """One upstream of a group, as registered by itself.

    Attributes:
        member_id: Identity; unlike an address, it is not reused by other upstreams.
        group: Its database group.
        address: Where it accepts connections.
        data_centre: Data centre of its VM.
        slots: Number of statements that it runs at once.
        is_leaving: Whether it will shut down soon and accepts no new work.
        reports_primary: Whether it sees itself as the primary.
        started_at_ms: Start time in Unix milliseconds. A changed value under the same
            identity means a restarted upstream that kept no earlier state.
        revision: Store revision at which the entry was written.
    """

    member_id: str
    group: str
    address: Address
    data_centre: str
    slots: int
    is_leaving: bool
    reports_primary: bool
    started_at_ms: int
    revision: int
