"""Numbers revisions and leases of the platform's store across its restorations.

The platform may restore its store from a copy that is some seconds old. Revisions and
leases go back then and are given out again; the era in each response rises by one.
Numbered after their era, they never repeat and keep increasing.
"""

from __future__ import annotations

from loguru import logger
from result import Err
from result import Ok
from result import Result

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.decoding import parse_integer
from ebonyrack.core.notifier import Notifier
from ebonyrack.store.http_client import HttpResponse
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.store_response import StoreErrorKind

ERA_HEADER = b"store-era"
# Bits below the era. A store at 1,000 changes a second takes 49 days to reach the next
# era's revisions; leases have any number of 64 bits.
REVISION_BITS = 32
LEASE_BITS = 64
LARGEST_ERA = 2**31 - 1


class StoreEra:
    """The newest era of the store that a response has shown.

    Attributes:
        number: The era; 0 before the first response and on a store without eras.
        seen_at_s: Time at which it was first seen, on the boot clock; far in the past
            on a store without eras.
        changed: Wakes tasks that wait for a response of an earlier era.
    """

    __slots__ = ("number", "seen_at_s", "changed")

    def __init__(self) -> None:
        self.number = 0
        self.seen_at_s = float("-inf")
        self.changed = Notifier()

    def accept(self, response: HttpResponse) -> Result[HttpResponse, StoreError]:
        """Record the era of a response; reject a response of an earlier era."""
        number = read_era(response)
        if number is None:
            return Ok(response)
        if number < self.number:
            reason = f"a late response of era {number}, now {self.number}"
            return Err(StoreError(StoreErrorKind.UNKNOWN, reason))
        if number > self.number:
            if self.number:
                logger.bind(before=self.number, era=number).warning("store_restored")
            self.number = number
            self.seen_at_s = boot_time_s()
            self.changed.notify()
        return Ok(response)

    def extend_revision(self, revision: int) -> int:
        """Return a revision of this era as numbered across eras."""
        return revision + (self.number << REVISION_BITS)

    def extend_lease(self, lease: int) -> int:
        """Return a lease of this era as numbered across eras."""
        return lease + (self.number << LEASE_BITS)

    def strip_revision(self, extended: int) -> int | None:
        """Return a revision as the store numbers it; None for one of another era."""
        return strip(extended, self.number, REVISION_BITS)

    def strip_lease(self, extended: int) -> int | None:
        """Return a lease as the store numbers it; None for one of another era."""
        return strip(extended, self.number, LEASE_BITS)


def strip(extended: int, era: int, bits: int) -> int | None:
    """Return a number without its era; None if it is of another one.

    0 stands for no revision or no lease in every era.
    """
    if extended == 0 or era == 0:
        return extended
    number = extended - (era << bits)
    return number if 0 <= number < 1 << bits else None


def read_era(response: HttpResponse) -> int | None:
    """Return the era that a response states, or None."""
    for name, value in response.headers:
        if name.lower() == ERA_HEADER:
            return parse_integer(value, LARGEST_ERA)
    return None
