"""Registers this proxy in the store and lists the live proxies.

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
from ebonyrack.peers.proxy_entry import ProxyEntry
from ebonyrack.peers.proxy_entry import decode_entry
from ebonyrack.peers.proxy_entry import encode_entry
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
        entry: What the other proxies are told of it; None without links.
        live_names: Names that the store listed last.
        proxies: The live proxies that told an address, this one too, by name.
        departed_at_s: Time at which each recently removed name went missing.
        unreadable: Hash of each value that can't be used, by name.
        on_change: Called when the live proxies change.
        task: Keeps the name in the store.
    """

    __slots__ = (
        "store",
        "name",
        "entry",
        "live_names",
        "proxies",
        "departed_at_s",
        "unreadable",
        "on_change",
        "task",
    )

    def __init__(
        self,
        store: LeasingStore,
        name: str,
        on_change: Callable[[], None],
        entry: ProxyEntry | None = None,
    ) -> None:
        self.store = store
        self.name = name
        self.entry = entry
        self.live_names: set[str] = set()
        self.proxies: dict[str, ProxyEntry] = {}
        if entry is not None:
            self.proxies[name] = entry
        self.departed_at_s: dict[str, float] = {}
        self.unreadable: dict[str, int] = {}
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
        before, known_proxies = self.live_count, self.proxies
        values = {
            item.key.removeprefix(PREFIX): item.value
            for item in changes.items
            if item.key.startswith(PREFIX)
        }
        found = values.keys()
        removed = {
            key.removeprefix(PREFIX)
            for key in changes.deleted
            if key.startswith(PREFIX)
        }
        known = self.live_names
        self.live_names = (set() if changes.is_complete else known) | found
        self.live_names -= removed
        self.unreadable = {
            name: value
            for name, value in self.unreadable.items()
            if name in self.live_names
        }
        self.record_departed(known - self.live_names)
        self.proxies = self.build_proxies(values)
        if self.live_count != before:
            logger.bind(before=before, live=self.live_count).info("proxies_counted")
        if self.live_count != before or self.proxies != known_proxies:
            self.on_change()

    def build_proxies(self, values: dict[str, bytes]) -> dict[str, ProxyEntry]:
        """Return the live proxies that told an address, this one too.

        Args:
            values: Value of each entry that was read or changed, by name.
        """
        proxies = {
            name: entry
            for name, entry in self.proxies.items()
            if name in self.live_names and name not in values
        }
        for name, value in values.items():
            entry = decode_entry(name, value)
            if entry is not None and name in self.live_names:
                proxies[name] = entry
            self.record_unreadable(name, value, entry is not None)
        if self.entry is not None:
            proxies[self.name] = self.entry
        return proxies

    def record_unreadable(self, name: str, value: bytes, is_readable: bool) -> None:
        """Log a value that can't be used, once; builds without links have none."""
        if is_readable or not value:
            self.unreadable.pop(name, None)
        elif self.unreadable.get(name) != hash(value):
            self.unreadable[name] = hash(value)
            logger.bind(proxy_name=f"{name:.80}", value=repr(value[:40])).warning(
                "proxy_entry_unreadable"
            )

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
        value = encode_entry(self.entry) if self.entry is not None else b""
        written = await self.store.write(
            StoreWrite(key, value, lease.ok_value, revision)
        )
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
