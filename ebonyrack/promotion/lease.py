"""The duty to change a group's primary: one holder at a time, by a key with a lease.

The duty is taken when a primary is lost and given back after the change. The
revision of the store at which the key was written is the fencing token: it grows
with each holder, and also with each turn of the same one.
"""

from __future__ import annotations

import secrets
from dataclasses import dataclass

from loguru import logger
from result import Err

from ebonyrack.core.clock import boot_time_s
from ebonyrack.store.leasing_store import LeasingStore
from ebonyrack.store.leasing_store import StoreWrite

PREFIX = "ebonyrack/promotion/"
# The time of one change of primary; a holder that died keeps others out as long.
LEASE_TTL_S = 4.0
# The holder acts only this long, counted from before it asked for the lease, so that
# it has surely stopped when the lease ends.
HOLD_LIMIT_S = 3.2


@dataclass(frozen=True, slots=True)
class PromotionLease:
    """The duty while it is held.

    Attributes:
        group: The database group.
        fencing_token: Number that grows with each turn.
        deadline_s: Time after which the holder must not act, on the boot clock.
    """

    group: str
    fencing_token: int
    deadline_s: float

    @property
    def is_held(self) -> bool:
        """Whether the holder may still act."""
        return boot_time_s() < self.deadline_s


async def acquire_promotion_lease(
    store: LeasingStore, group: str, holder: str
) -> PromotionLease | None:
    """Take the duty for a group if nobody holds it.

    Args:
        store: The store.
        group: The database group.
        holder: Name of this proxy.

    Returns:
        The duty, or None if another holds it or the store doesn't answer.
    """
    started_s = boot_time_s()
    lease = await store.grant_lease(LEASE_TTL_S)
    if isinstance(lease, Err):
        log_not_acquired(group, lease.err_value.reason)
        return None
    # Each attempt writes another value, by which a lost answer is settled.
    value = f"{holder} {secrets.token_hex(8)}".encode()
    key = PREFIX + group
    written = await store.write(StoreWrite(key, value, lease.ok_value, 0))
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
    return PromotionLease(group, token, started_s + HOLD_LIMIT_S)


async def release_promotion_lease(store: LeasingStore, lease: PromotionLease) -> None:
    """Give the duty back, so that others need not wait for its lease to end.

    Args:
        store: The store.
        lease: The duty.
    """
    deleted = await store.delete(PREFIX + lease.group, lease.fencing_token)
    outcome = deleted.unwrap_or(False)
    logger.bind(
        group=lease.group, fencing_token=lease.fencing_token, deleted=outcome
    ).info("duty_given_back")


def log_not_acquired(group: str, reason: str) -> None:
    """Log why the duty was not taken."""
    logger.bind(group=group, reason=reason).info("duty_not_taken")
