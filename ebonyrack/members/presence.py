"""Registers this proxy in the store and counts the live proxies.

All proxies share the connections of the upstreams, so each must know how many proxies
there are. A name expires with its lease, so a crashed proxy stops being counted.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from loguru import logger
from result import Err

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.core.tasks import start_loop
from ebonyrack.store.backoff import Backoff
from ebonyrack.store.leasing_store import LeasingStore
from ebonyrack.store.leasing_store import StoreChanges
from ebonyrack.store.leasing_store import StoreWrite

PREFIX = "ebonyrack/proxies/"
# Longer than the outages that should not change the connection shares.
LEASE_TTL_S = 10.0
RENEWAL_INTERVAL_S = 3.0
# A missing name still counts for this long: the proxy may be restarting, its lease may
# have expired in an outage, and upstreams keep its connections for a while.
DEPARTED_GRACE_S = 15.0
INITIAL_BACKOFF_S = 0.2
MAXIMUM_BACKOFF_S = 2.0


class Presence(Component):
    """Keeps this proxy's name in the store and tracks the names of all proxies.

    Attributes:
        store: The store.
        name: Name of this proxy.
        live_names: Names that the store listed last.
        departed_at_s: Time at which each recently removed name went missing.
        on_change: Called when the number of live proxies changes.
        task: Keeps the name in the store.
    """

    __slots__ = ("store", "name", "live_names", "departed_at_s", "on_change", "task")

    def __init__(
        self, store: LeasingStore, name: str, on_change: Callable[[], None]
    ) -> None:
        self.store = store
        self.name = name
        self.live_names: set[str] = set()
        self.departed_at_s: dict[str, float] = {}
        self.on_change = on_change
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the registration."""
        self.task = start_loop(self.register)

    async def stop(self) -> None:
        """Stop the registration; the name expires with its lease."""
        await end_tasks([self.task])

    @property
    def live_count(self) -> int:
        """Number of proxies that are or recently were alive, including this one."""
        return len(self.live_names | self.departed_at_s.keys() | {self.name})

    async def apply(self, changes: StoreChanges) -> None:
        """Apply changes of the store.

        Args:
            changes: Items and keys of the store, with this prefix or others.
        """
        before = self.live_count
        found = {
            item.key.removeprefix(PREFIX)
            for item in changes.items
            if item.key.startswith(PREFIX)
        }
        removed = {
            key.removeprefix(PREFIX)
            for key in changes.deleted
            if key.startswith(PREFIX)
        }
        known = self.live_names
        self.live_names = found if changes.is_complete else (known | found) - removed
        self.record_departed(known - self.live_names)
        if self.live_count != before:
            logger.bind(before=before, live=self.live_count).info("proxies_counted")
            self.on_change()

    def record_departed(self, names: set[str]) -> None:
        """Record missing names, which still count for a while."""
        now = boot_time_s()
        self.departed_at_s.update(dict.fromkeys(names, now))
        self.departed_at_s = {
            name: departed_at_s
            for name, departed_at_s in self.departed_at_s.items()
            if now - departed_at_s < DEPARTED_GRACE_S and name not in self.live_names
        }

    async def register(self) -> None:
        """Keep the name in the store until cancelled."""
        backoff = Backoff(INITIAL_BACKOFF_S, MAXIMUM_BACKOFF_S)
        while True:
            lease = await self.write_name()
            if lease is not None:
                backoff.reset()
                await self.renew_while_held(lease)
            await asyncio.sleep(backoff.choose_delay())

    async def write_name(self) -> int | None:
        """Write the name with a new lease; return the lease, or None on failure."""
        lease = await self.store.grant_lease(LEASE_TTL_S)
        if isinstance(lease, Err):
            self.log_failure("lease", lease.err_value.reason)
            return None
        key = PREFIX + self.name
        known = await self.store.read_key(key)
        if isinstance(known, Err):
            self.log_failure("read", known.err_value.reason)
            return None
        revision = known.ok_value.revision if known.ok_value is not None else 0
        written = await self.store.write(StoreWrite(key, b"", lease.ok_value, revision))
        if isinstance(written, Err) or written.ok_value is None:
            self.log_failure("write", "refused or unanswered")
            return None
        return lease.ok_value

    async def renew_while_held(self, lease: int) -> None:
        """Renew a lease until it has expired."""
        while True:
            # Proxies that started together don't all renew at once.
            await asyncio.sleep(RENEWAL_INTERVAL_S * random.uniform(0.7, 1.0))
            renewed = await self.store.renew_lease(lease)
            if isinstance(renewed, Err):
                self.log_failure("renew", renewed.err_value.reason)
            elif not renewed.ok_value:
                self.log_failure("renew", "the lease has expired")
                return

    def log_failure(self, step: str, reason: str) -> None:
        """Log a failed call, which is retried."""
        logger.bind(step=step, reason=reason).warning("presence_not_renewed")
