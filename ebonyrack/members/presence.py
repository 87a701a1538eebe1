"""Registers this proxy in the store and counts the others.

Connections of upstreams are shared by all proxies, so each must know how many there
are. A name ends with its lease, so that a proxy that died is no longer counted.
"""

from __future__ import annotations

import asyncio
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
# Longer than the outages after which connections should be shared anew.
LEASE_S = 10.0
RENEWAL_S = 3.0
# A name that has gone counts this much longer: the proxy may be restarted, its lease
# may have been taken away in an outage, and its connections linger at the upstreams.
DEPARTED_S = 15.0
INITIAL_BACKOFF_S = 0.2
MAXIMUM_BACKOFF_S = 2.0


class Presence(Component):
    """Keeps this proxy's name in the store and the names of all.

    Attributes:
        store: The store.
        name: Name of this proxy.
        live_names: Names of the proxies that live, as last heard.
        departed_at_s: Time at which each of the other names was last heard.
        on_change: Called when their number changes.
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
        """Start to register."""
        self.task = start_loop(self.register)

    async def stop(self) -> None:
        """Stop to register; the name ends with its lease."""
        await end_tasks([self.task])

    @property
    def live_count(self) -> int:
        """Number of proxies that live or did a moment ago, this one included."""
        return len(self.live_names | self.departed_at_s.keys() | {self.name})

    async def apply(self, changes: StoreChanges) -> None:
        """Take over what the store says.

        Args:
            changes: Items and keys of the store, of this prefix or others.
        """
        before = self.live_count
        found = {
            item.key.removeprefix(PREFIX)
            for item in changes.items
            if item.key.startswith(PREFIX)
        }
        gone = {
            key.removeprefix(PREFIX)
            for key in changes.deleted
            if key.startswith(PREFIX)
        }
        known = self.live_names
        self.live_names = found if changes.is_complete else (known | found) - gone
        self.record_departed(known - self.live_names)
        if self.live_count != before:
            logger.bind(before=before, live=self.live_count).info("proxies_counted")
            self.on_change()

    def record_departed(self, names: set[str]) -> None:
        """Count names for a while after they have gone."""
        now = boot_time_s()
        self.departed_at_s.update(dict.fromkeys(names, now))
        self.departed_at_s = {
            name: gone_s
            for name, gone_s in self.departed_at_s.items()
            if now - gone_s < DEPARTED_S and name not in self.live_names
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
        """Write the name with a new lease; return the lease, None if that failed."""
        lease = await self.store.grant_lease(LEASE_S)
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
        """Renew a lease until it has ended."""
        while True:
            await asyncio.sleep(RENEWAL_S)
            renewed = await self.store.renew_lease(lease)
            if isinstance(renewed, Err):
                self.log_failure("renew", renewed.err_value.reason)
            elif not renewed.ok_value:
                self.log_failure("renew", "the lease has ended")
                return

    def log_failure(self, step: str, reason: str) -> None:
        """Log a call that failed; it is made again."""
        logger.bind(step=step, reason=reason).warning("presence_not_renewed")
