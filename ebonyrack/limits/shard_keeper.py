"""Keeps this proxy's shards in the store and follows the owners of the others."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

from loguru import logger
from result import Err

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.component import Component
from ebonyrack.core.decoding import parse_integer
from ebonyrack.core.notifier import Notifier
from ebonyrack.core.tasks import end_tasks
from ebonyrack.core.tasks import start_loop
from ebonyrack.limits.shard import SHARD_COUNT
from ebonyrack.limits.shard_hold import LEASE_TTL_S
from ebonyrack.limits.shard_hold import RENEWAL_INTERVAL_S
from ebonyrack.limits.shard_hold import ShardHold
from ebonyrack.limits.shard_hold import ShardLease
from ebonyrack.limits.shard_key import ShardOwner
from ebonyrack.limits.shard_key import encode_levels
from ebonyrack.store.follower import FollowOptions
from ebonyrack.store.follower import StoreAvailability
from ebonyrack.store.follower import StoreFollower
from ebonyrack.store.leasing_store import LeasingStore
from ebonyrack.store.leasing_store import StoreChanges
from ebonyrack.store.leasing_store import StoreWrite

PREFIX = "ebonyrack/limits/"
MARK_KEY = PREFIX + "mark"
CLAIM_INTERVAL_S = 0.25
# The same while a shard has no owner.
UNOWNED_INTERVAL_S = 0.05
# Pause after a claim without a reply of the store; the watch shows what became of it.
FAILED_CLAIM_PAUSE_S = 0.5
# A renewal without a response is repeated after this time.
RENEWAL_RETRY_S = 0.7
WORD_BYTES = 6


class ShardKeeper(Component):
    """Claims, renews and releases shards.

    Attributes:
        store: The store.
        hold: What this proxy owns.
        list_names: Returns the names of the live proxies that can be asked.
        refresh_names: Reads them again.
        on_owned: Called when this proxy may have become the owner of a shard.
        follower: Follows the keys of all shards.
        generation: Generation of the store to which the known keys belong.
        changed: Wakes the loop that claims when keys have changed.
        tasks: Loops that claim and renew.
    """

    __slots__ = (
        "store",
        "hold",
        "list_names",
        "refresh_names",
        "on_owned",
        "follower",
        "generation",
        "changed",
        "tasks",
    )

    def __init__(
        self,
        store: LeasingStore,
        hold: ShardHold,
        list_names: Callable[[], Iterable[str]],
        refresh_names: Callable[[], Awaitable[None]],
        on_owned: Callable[[], None],
        availability: StoreAvailability,
        watch_s: float,
    ) -> None:
        self.store = store
        self.hold = hold
        self.list_names = list_names
        self.refresh_names = refresh_names
        self.on_owned = on_owned
        self.follower = StoreFollower(
            store,
            FollowOptions(PREFIX, watch_s=watch_s),
            self.apply,
            lambda: False,
            availability,
        )
        self.generation = store.generation
        self.changed = Notifier()
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start to follow, claim and renew."""
        await self.follower.start()
        self.tasks = [start_loop(self.claim_repeatedly), start_loop(self.renew)]

    async def stop(self) -> None:
        """Stop; the keys end with their lease unless they were released."""
        await end_tasks(self.tasks)
        await self.follower.stop()

    def check_generation(self) -> None:
        """Forget everything if the store was restored from a copy."""
        if self.generation != self.store.generation:
            if self.generation:
                logger.bind(generation=self.store.generation).warning(
                    "shards_forgotten"
                )
            self.generation = self.store.generation
            self.hold.forget_keys()

    async def apply(self, changes: StoreChanges) -> None:
        """Apply a reading or a change of the keys."""
        self.check_generation()
        now_s = boot_time_s()
        found = {item.key: item for item in changes.items}
        mark = found.pop(MARK_KEY, None)
        number = parse_integer(mark.value) if mark is not None else None
        if mark is not None and number is not None:
            self.hold.mark = (mark.revision, number)
        for shard in range(SHARD_COUNT):
            item = found.get(f"{PREFIX}{shard}")
            if item is not None:
                self.hold.record_key(shard, item.value, item.revision, now_s)
            elif changes.is_complete or f"{PREFIX}{shard}" in changes.deleted:
                self.hold.record_absent(shard, now_s)
        self.on_owned()
        self.changed.notify()
        owners = {self.hold.find_owner(shard) for shard in range(SHARD_COUNT)}
        if owners - {None, self.hold.name} - set(self.list_names()):
            # An owner that has just joined can't be asked without its address.
            await self.refresh_names()

    async def claim_repeatedly(self) -> None:
        """Claim shards as they become due, until cancelled."""
        while True:
            pause_s = UNOWNED_INTERVAL_S if self.hold.has_unowned else CLAIM_INTERVAL_S
            await self.changed.wait(pause_s * random.uniform(0.6, 1.0))
            self.check_generation()
            if not await self.claim_due():
                await asyncio.sleep(FAILED_CLAIM_PAUSE_S)

    async def claim_due(self) -> bool:
        """Claim the shards that are due; return whether the store replied."""
        now_s = boot_time_s()
        generation = self.store.generation
        if not self.hold.may_claim(now_s, generation, self.store.generation_seen_s):
            return True
        if not self.hold.choose_claims(self.list_names(), now_s):
            return True
        # Shards spread only over proxies that are known.
        await self.refresh_names()
        shards = self.hold.choose_claims(self.list_names(), now_s)
        if not shards:
            return True
        if self.hold.mark[1] != generation and not await self.write_mark(generation):
            return False
        lease = await self.ensure_lease()
        if lease is None:
            return False
        claimed = [await self.claim(shard, lease) for shard in shards]
        return all(claimed)

    async def write_mark(self, generation: int) -> bool:
        """Record that the owners of earlier generations have stopped."""
        value = str(generation).encode()
        write = StoreWrite(MARK_KEY, value, 0, self.hold.mark[0])
        revision = (await self.store.write(write)).unwrap_or(None)
        if revision is None or self.store.generation != generation:
            return False
        self.hold.mark = (revision, generation)
        return True

    async def ensure_lease(self) -> ShardLease | None:
        """Return the lease of the keys; grant one if there is none."""
        if self.hold.lease is None:
            asked_s = boot_time_s()
            granted = await self.store.grant_lease(LEASE_TTL_S)
            if isinstance(granted, Err):
                return None
            self.check_generation()
            word = secrets.token_hex(WORD_BYTES)
            self.hold.start_lease(
                granted.ok_value, self.store.generation, word, asked_s
            )
        is_valid = self.hold.is_valid(boot_time_s(), self.store.generation)
        return self.hold.lease if is_valid else None

    async def claim(self, shard: int, lease: ShardLease) -> bool:
        """Write the key of a shard; return whether the store replied."""
        known = self.hold.keys.get(shard)
        if known is None or self.hold.is_leaving:
            return True
        owner = ShardOwner(self.hold.name, self.hold.address, lease.word)
        write = StoreWrite(
            f"{PREFIX}{shard}", owner.encode(), lease.number, known.revision
        )
        written = await self.store.write(write)
        revision = written.unwrap_or(None)
        current = self.hold.lease
        if revision is None or current is None or current.word != lease.word:
            is_unknown = isinstance(written, Err)
            logger.bind(shard=shard, unknown=is_unknown).info("shard_not_claimed")
            # Another proxy was faster, unless the store doesn't answer.
            return not is_unknown
        self.hold.record_key(shard, owner.encode(), revision, boot_time_s())
        self.on_owned()
        logger.bind(shard=shard, before=known.owner).info("shard_claimed")
        return True

    async def renew(self) -> None:
        """Renew the lease until cancelled."""
        while True:
            pause_s = RENEWAL_INTERVAL_S * random.uniform(0.7, 1.0)
            lease = self.hold.lease
            if lease is not None and not await self.renew_once(lease):
                pause_s = RENEWAL_RETRY_S
            await asyncio.sleep(pause_s)

    async def renew_once(self, lease: ShardLease) -> bool:
        """Renew the lease; return whether the store replied."""
        asked_s = boot_time_s()
        renewed = await self.store.renew_lease(lease.number)
        if isinstance(renewed, Err):
            logger.bind(
                reason=renewed.err_value.reason,
                remaining_s=round(lease.deadline_s - boot_time_s(), 2),
            ).warning("shards_not_renewed")
            return False
        if renewed.ok_value:
            self.hold.extend_lease(lease, asked_s)
        elif self.hold.lease is not None and self.hold.lease.number == lease.number:
            logger.bind(shards=sorted(self.hold.books)).warning("shards_lost")
            self.hold.end_lease()
        return True

    async def release(self) -> None:
        """Give all shards back, so that others can take them at once.

        The levels of the buckets stay in the keys, so that the next owner goes on
        where this one stopped.
        """
        self.hold.is_leaving = True
        now_s = boot_time_s()
        is_valid = self.hold.is_valid(now_s, self.store.generation)
        books = dict(self.hold.books) if is_valid else {}
        self.hold.end_lease()
        writes = [
            StoreWrite(
                f"{PREFIX}{shard}",
                encode_levels(book.compute_levels(now_s)),
                0,
                self.hold.keys[shard].revision,
            )
            for shard, book in books.items()
        ]
        results = await asyncio.gather(*(self.store.write(write) for write in writes))
        count = sum(result.unwrap_or(None) is not None for result in results)
        if books:
            logger.bind(shards=sorted(books), released=count).info("shards_released")
