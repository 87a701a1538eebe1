"""The promotion lease, with which one proxy at a time may change a group's primary.

The lease is acquired when a primary is lost and released after the change. It is a key
in the store. The store revision at which the key was written is the fencing token: it
grows with each acquisition, also by the same holder.
"""

from __future__ import annotations

import secrets

from loguru import logger
from msgspec import Struct
from result import Err

from ebonyrack.core.clock import boot_time_s
from ebonyrack.store.leasing_store import LeasingStore
from ebonyrack.store.leasing_store import StoreWrite

PREFIX = "ebonyrack/promotion/"
# Time for one change of primary; a crashed holder blocks the others for this long.
LEASE_TTL_S = 4.0
# The holder acts only this long, counted from before its request for the lease, so that
# it has certainly stopped when the lease expires.
HOLD_LIMIT_S = 3.2
# An order may be on its way for about this long.
ORDER_ALLOWANCE_S = 0.6


class PromotionLease(Struct, frozen=True):
    """A group's promotion lease while it is held.

    Attributes:
        group: The database group.
        fencing_token: Number that grows with each acquisition.
        deadline_s: Time after which the holder must not act, on the boot clock.
        store: The store that granted it.
        generation: Generation of the store that granted it; a later one may have
            forgotten the lease.
    """

    group: str
    fencing_token: int
    deadline_s: float
    store: LeasingStore
    generation: int

    @property
    def is_held(self) -> bool:
        """Whether the holder may still act."""
        return self.remaining_s > 0

    @property
    def allows_order(self) -> bool:
        """Whether an order sent now arrives while the lease is held."""
        return self.remaining_s > ORDER_ALLOWANCE_S

    @property
    def remaining_s(self) -> float:
        """Seconds for which the holder may still act; 0 if the store was restored."""
        if self.store.generation != self.generation:
            return 0.0
        return self.deadline_s - boot_time_s()


async def acquire_promotion_lease(
    store: LeasingStore, group: str, holder: str
) -> PromotionLease | None:
    """Acquire a group's promotion lease unless another proxy holds it.

    Args:
        store: The store.
        group: The database group.
        holder: Name of this proxy.

    Returns:
        The lease, or None if another proxy holds it or the store doesn't reply.
    """
    started_s = boot_time_s()
    store_lease = await store.grant_lease(LEASE_TTL_S)
    if isinstance(store_lease, Err):
        log_not_acquired(group, store_lease.err_value.reason)
        return None
    generation = store.generation
    if started_s - store.generation_seen_s < LEASE_TTL_S:
        log_not_acquired(group, "the store may have forgotten an earlier holder")
        return None
    # A unique value for each attempt resolves the outcome if the reply is lost.
    value = f"{holder} {secrets.token_hex(8)}".encode()
    key = PREFIX + group
    written = await store.write(StoreWrite(key, value, store_lease.ok_value, 0))
    if isinstance(written, Err):
        found = await store.read_key(key)
        item = found.unwrap_or(None)
        if item is None or item.value != value:
            log_not_acquired(group, written.err_value.reason)
            return None
        token = item.revision
    elif written.ok_value is None:
        log_not_acquired(group, "another proxy holds it")
        return None
    else:
        token = written.ok_value
    logger.bind(group=group, fencing_token=token).info("duty_taken")
    return PromotionLease(group, token, started_s + HOLD_LIMIT_S, store, generation)


async def release_promotion_lease(store: LeasingStore, lease: PromotionLease) -> None:
    """Release the lease, so that others need not wait until it expires.

    Args:
        store: The store.
        lease: The lease.
    """
    deleted = await store.delete(PREFIX + lease.group, lease.fencing_token)
    is_deleted = deleted.unwrap_or(False)
    logger.bind(
        group=lease.group, fencing_token=lease.fencing_token, deleted=is_deleted
    ).info("duty_given_back")


def log_not_acquired(group: str, reason: str) -> None:
    """Log why the lease was not acquired."""
    logger.bind(group=group, reason=reason).info("duty_not_taken")
