"""What an upstream says of itself in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass

from ebonyrack.core.address import Address


@dataclass(frozen=True, slots=True)
class MemberEntry:
    """One upstream of a group, as it registered itself.

    Attributes:
        member_id: Identity; addresses are used again by others.
        group: Its database group.
        address: Where it takes connections.
        data_centre: Data centre of its VM.
        slots: Statements that it runs at once.
        is_leaving: Whether it will end soon and wants no new work.
        reports_primary: Whether it sees itself as the primary.
        started_at_ms: Start time in Unix milliseconds. A changed value under the same
            identity means a restarted upstream that kept no earlier state.
        revision: Revision of the store at which this was written.
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
