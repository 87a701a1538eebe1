"""Which shards this proxy owns, for how long, and which it should claim.

A shard belongs to the process whose word is in its key. The key has a lease, so it ends
some time after its owner; the owner stops at its own clock before that. Nobody writes a
key that exists, except a process that was started again on the VM of the owner: two
processes with the same name and address never run at the same time.

After the store was restored from a copy, an owner may exist whose key the copy lacks. A
mark in the store says that this time has passed since the restoration; the copy has an
older mark. Without it a proxy waits until all leases of before have ended.

Load pattern: all proxies are killed at once and their callers return at once. Each
process that starts again takes the shards of its predecessor at its first reading.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from msgspec import Struct

from ebonyrack.limits.grant_book import GrantBook
from ebonyrack.limits.grant_terms import LimitBounds
from ebonyrack.limits.shard import SHARD_COUNT
from ebonyrack.limits.shard import rank_owner
from ebonyrack.limits.shard_key import ShardKey
from ebonyrack.limits.shard_key import ShardOwner
from ebonyrack.limits.shard_key import decode_levels
from ebonyrack.limits.shard_key import decode_owner

# Longer than most outages of the store, in which the owners go on.
LEASE_TTL_S = 10.0
# The owner stops this much before its lease may end, for the spread of the clocks.
LEASE_MARGIN_S = 1.0
RENEWAL_INTERVAL_S = 2.0
# A process that has just started takes over from its predecessor only, until the other
# proxies that start with it are known.
SETTLING_S = 2.0
# A proxy waits this long for each one that is preferred to it as the owner.
RANK_DELAY_S = 0.1
# ... and for each shard that it owns beyond its part, so that shards spread.
EXCESS_DELAY_S = 1.0
LONGEST_CLAIM_DELAY_S = 3.0


class ShardLease(Struct, frozen=True):
    """The lease of this proxy's keys.

    Attributes:
        number: Its number in the store.
        generation: Generation of the store that granted it.
        word: Random word that its keys hold.
        deadline_s: Time at which its owner stops, on the boot clock.
    """

    number: int
    generation: int
    word: str
    deadline_s: float


class ShardHold:
    """The shards of this proxy and the owners of the others.

    Attributes:
        name: Name of this proxy.
        address: Address that only this process has.
        started_s: Start of this process, on the boot clock.
        bounds: How strictly the limits are checked.
        lease: Lease of the owned keys, or None.
        keys: Key by shard, for those that have been read.
        books: Book by owned shard.
        lease_count: Number of leases that this process has used.
        mark: Revision and generation of the mark in the store; (0, 0) without one.
        is_leaving: Whether this proxy claims nothing any more.
    """

    __slots__ = (
        "name",
        "address",
        "started_s",
        "bounds",
        "lease",
        "keys",
        "books",
        "lease_count",
        "mark",
        "is_leaving",
    )

    def __init__(
        self, name: str, address: str, started_s: float, bounds: LimitBounds
    ) -> None:
        self.name = name
        self.address = address
        self.started_s = started_s
        self.bounds = bounds
        self.lease: ShardLease | None = None
        self.keys: dict[int, ShardKey] = {}
        self.books: dict[int, GrantBook] = {}
        self.lease_count = 0
        self.mark = (0, 0)
        self.is_leaving = False

    def is_valid(self, now_s: float, generation: int) -> bool:
        """Return whether the lease certainly stands."""
        lease = self.lease
        return (
            lease is not None
            and lease.generation == generation
            and now_s < lease.deadline_s
        )

    def find_book(self, shard: int, now_s: float, generation: int) -> GrantBook | None:
        """Return the book of a shard, or None if this proxy may not grant from it."""
        return self.books.get(shard) if self.is_valid(now_s, generation) else None

    @property
    def has_unowned(self) -> bool:
        """Whether a shard has no owner that is known."""
        return any(self.find_owner(shard) is None for shard in range(SHARD_COUNT))

    def find_owner(self, shard: int) -> str | None:
        """Return the name of the owner of a shard, as far as it is known."""
        key = self.keys.get(shard)
        return key.owner.name if key is not None and key.owner is not None else None

    def is_released(self, shard: int) -> bool:
        """Return whether a shard was given back and will be taken soon."""
        key = self.keys.get(shard)
        return key is not None and key.owner is None and key.revision != 0

    def start_lease(
        self, number: int, generation: int, word: str, asked_s: float
    ) -> None:
        """Begin to use a new lease.

        Args:
            number: Its number.
            generation: Generation of the store at the time.
            word: Random word that no other lease has.
            asked_s: Time before the request was sent, on the boot clock.
        """
        self.books.clear()
        self.lease_count += 1
        deadline_s = asked_s + LEASE_TTL_S - LEASE_MARGIN_S
        self.lease = ShardLease(number, generation, word, deadline_s)

    def extend_lease(self, lease: ShardLease, asked_s: float) -> None:
        """Extend the lease after a renewal, if it is still the one that was renewed."""
        if self.lease is None or self.lease.number != lease.number:
            return
        deadline_s = asked_s + LEASE_TTL_S - LEASE_MARGIN_S
        self.lease = ShardLease(
            lease.number,
            lease.generation,
            lease.word,
            max(deadline_s, self.lease.deadline_s),
        )

    def end_lease(self) -> None:
        """Stop to own anything; the keys end with the lease."""
        self.lease = None
        self.books.clear()

    def record_key(self, shard: int, value: bytes, revision: int, now_s: float) -> None:
        """Record that a key was read or written."""
        known = self.keys.get(shard)
        if known is not None and revision < known.revision:
            return
        owner = decode_owner(value)
        if known is None or known.revision != revision:
            levels = decode_levels(value) if owner is None else {}
            last_owner = self.find_owner(shard)
            self.keys[shard] = ShardKey(owner, revision, now_s, last_owner, levels)
        word = self.lease.word if self.lease is not None else None
        if owner is None or owner.word != word:
            self.books.pop(shard, None)
        elif shard not in self.books:
            started_s = now_s if known is None else self.choose_start(known, now_s)
            levels = {} if known is None else known.levels
            self.books[shard] = GrantBook(self.bounds, started_s, levels)

    def choose_start(self, replaced: ShardKey, now_s: float) -> float:
        """Return the time since which nobody has granted from a shard just taken.

        The owner before may have been this process itself, with an earlier lease.
        """
        if (
            self.lease_count == 1
            and replaced.owner is not None
            and self.is_predecessor(replaced.owner)
        ):
            return self.started_s
        return now_s

    def record_absent(self, shard: int, now_s: float) -> None:
        """Record that a shard has no key."""
        self.books.pop(shard, None)
        known = self.keys.get(shard)
        if known is None or known.revision != 0:
            last_owner = self.find_owner(shard)
            self.keys[shard] = ShardKey(None, 0, now_s, last_owner)

    def forget_keys(self) -> None:
        """Forget all keys, as the store was restored."""
        self.end_lease()
        self.keys.clear()
        self.mark = (0, 0)

    def may_claim(self, now_s: float, generation: int, seen_s: float) -> bool:
        """Return whether all owners that the store may have forgotten have stopped.

        Args:
            now_s: Current time on the boot clock.
            generation: Generation of the store; 0 if it is never restored.
            seen_s: Time at which this process first saw it.
        """
        is_marked = generation in (0, self.mark[1])
        return is_marked or now_s - seen_s >= LEASE_TTL_S

    def is_predecessor(self, owner: ShardOwner) -> bool:
        """Return whether an owner was an earlier process on this VM."""
        word = self.lease.word if self.lease is not None else None
        return (
            owner.name == self.name
            and owner.address == self.address
            and owner.word != word
        )

    def choose_claims(self, names: Iterable[str], now_s: float) -> list[int]:
        """Return the shards that this proxy should claim now.

        Args:
            names: Names of the live proxies.
            now_s: Current time on the boot clock.
        """
        if self.is_leaving:
            return []
        known = set(names) | {self.name}
        is_settled = now_s >= self.started_s + SETTLING_S
        claims = []
        for shard in range(SHARD_COUNT):
            key = self.keys.get(shard)
            if key is None:
                continue
            if key.owner is not None:
                if self.is_predecessor(key.owner):
                    claims.append(shard)
                continue
            if not is_settled:
                continue
            # The owner before stops, or is lost.
            others = known - {key.last_owner}
            part = math.ceil(SHARD_COUNT / len(others | {self.name}))
            excess = max(0, len(self.books) + len(claims) + 1 - part)
            delay_s = rank_owner(shard, self.name, others) * RANK_DELAY_S
            delay_s = min(delay_s + excess * EXCESS_DELAY_S, LONGEST_CLAIM_DELAY_S)
            if now_s - key.seen_s >= delay_s:
                claims.append(shard)
        return claims
