"""The owner's book of a shard: what it has granted of each account's limit.

Load pattern: one account sends many times its usual through all proxies at once, while
the others go on. What is granted rests on the account's own bucket alone, operations
that wait are granted before those that are only expected, and those that get nothing
are told times that fit the rate.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from msgspec import Struct

from ebonyrack.limits.grant_terms import LimitBounds
from ebonyrack.limits.grant_terms import choose_terms
from ebonyrack.limits.limit_messages import AskGrants
from ebonyrack.limits.limit_messages import GrantsReply
from ebonyrack.limits.token_bucket import TokenBucket

# Grants that are this old are not taken back: none is valid for so long.
LOT_LIFETIME_S = 30.0
LONGEST_TOLD_WAIT_S = 1.0

LotKey = tuple[str, int, str]


class AccountLimit(Struct, frozen=True):
    """Limit of an account in one version of the configuration.

    Attributes:
        version: The version.
        rate_per_s: Operations per second.
        burst: Operations above the rate.
    """

    version: int
    rate_per_s: float
    burst: float


class GrantedLot(Struct, frozen=True):
    """Grants of one account in one reply.

    Attributes:
        take_number: Number of the take in the account's bucket.
        count: Number of granted operations.
        granted_at_s: Time of the reply.
    """

    take_number: int
    count: int
    granted_at_s: float


class GrantBook:
    """Grants of one shard, written by its owner only.

    Attributes:
        bounds: How strictly the limits are checked.
        started_s: Time since which nobody else has granted anything of the shard.
        levels: Level at that time by name of the account; others start empty.
        version: Version of the configuration in force at the owner.
        limits: Newest known limit by name of the account.
        buckets: Bucket by name of the account.
        lots: What was granted, by asker, number of the question and account.
        last_numbers: Number of the last question by asker.
        told_s: Time up to which refused operations were told to wait, by account.
    """

    __slots__ = (
        "bounds",
        "started_s",
        "levels",
        "version",
        "limits",
        "buckets",
        "lots",
        "last_numbers",
        "told_s",
    )

    def __init__(
        self,
        bounds: LimitBounds,
        started_s: float,
        levels: Mapping[str, float] | None = None,
    ) -> None:
        self.bounds = bounds
        self.levels = dict(levels or {})
        self.started_s = started_s
        self.version = 0
        self.limits: dict[str, AccountLimit] = {}
        self.buckets: dict[str, TokenBucket] = {}
        self.lots: dict[LotKey, GrantedLot] = {}
        self.last_numbers: dict[str, int] = {}
        self.told_s: dict[str, float] = {}

    def set_version(
        self, limits: Mapping[str, tuple[float, float]], version: int, now_s: float
    ) -> None:
        """Put the limits of a version of the configuration in force.

        Args:
            limits: Rate and burst by name of the account.
            version: The version.
            now_s: Current time.
        """
        self.version = version
        known = {
            name: AccountLimit(version, rate_per_s, burst)
            for name, (rate_per_s, burst) in limits.items()
        }
        self.learn_limits(known, now_s)

    def learn_limits(self, limits: Mapping[str, AccountLimit], now_s: float) -> None:
        """Put limits in force that are of a newer version than the known ones."""
        for name, limit in limits.items():
            known = self.limits.get(name)
            if known is not None and known.version >= limit.version:
                continue
            self.limits[name] = limit
            terms = choose_terms(limit.rate_per_s, limit.burst, self.bounds)
            bucket = self.buckets.get(name)
            if bucket is None:
                level = min(terms.capacity, self.levels.get(name, 0.0))
                self.buckets[name] = TokenBucket(terms, self.started_s, level)
            elif bucket.terms != terms:
                bucket.set_terms(terms, now_s)
                self.forget_lots(name)

    def compute_levels(self, now_s: float) -> dict[str, float]:
        """Return the level of each account's bucket, for the next owner."""
        for bucket in self.buckets.values():
            bucket.refill(now_s)
        return {name: bucket.level for name, bucket in self.buckets.items()}

    def forget_lots(self, account: str) -> None:
        """Take back no earlier grants of an account, as its bucket has changed."""
        self.lots = {key: lot for key, lot in self.lots.items() if key[2] != account}

    def answer(self, ask: AskGrants, now_s: float) -> GrantsReply:
        """Answer a question.

        Args:
            ask: The question.
            now_s: Current time on the boot clock.

        Returns:
            The grants; none if a later question of the asker was answered before.
        """
        limits = {
            name: AccountLimit(ask.version, values[0], values[1])
            for name, values in ask.limits.items()
            if is_limit(values)
        }
        self.learn_limits(limits, now_s)
        if ask.number <= self.last_numbers.get(ask.asker, 0):
            return GrantsReply(True, self.version, {}, {}, {})
        self.last_numbers[ask.asker] = ask.number
        self.prune_lots(now_s)
        self.take_back(ask, now_s)
        counts: dict[str, int] = {}
        validity_s: dict[str, float] = {}
        due_s: dict[str, float] = {}
        for account, wanted in ask.wanted.items():
            bucket = self.buckets.get(account)
            if bucket is None:
                # The asker tells the limit with its next question.
                due_s[account] = 0.0
                continue
            needed = ask.needed.get(account, 0)
            granted = self.grant(bucket, needed, wanted, now_s)
            if granted:
                key = (ask.asker, ask.number, account)
                self.lots[key] = GrantedLot(bucket.take_count, granted, now_s)
                counts[account] = granted
                validity_s[account] = bucket.terms.validity_s
            if granted < needed:
                due_s[account] = self.tell_wait(account, needed - granted, now_s)
        return GrantsReply(True, self.version, counts, validity_s, due_s)

    def grant(self, bucket: TokenBucket, needed: int, wanted: int, now_s: float) -> int:
        """Take tokens for what waits, and up to half of the rest for what may come."""
        if bucket.terms.validity_s <= 0:
            return 0
        bucket.refill(now_s)
        spare = max(0, int(bucket.level) - needed) // 2
        return bucket.take(needed + min(max(0, wanted - needed), spare), now_s)

    def tell_wait(self, account: str, missing: int, now_s: float) -> float:
        """Return a wait in seconds; those who are told one return one after another."""
        bucket = self.buckets[account]
        wait_s = bucket.measure_wait(now_s)
        rate = bucket.terms.rate_per_s
        if rate <= 0:
            return LONGEST_TOLD_WAIT_S
        due_s = max(now_s + wait_s, self.told_s.get(account, 0.0))
        latest_s = now_s + LONGEST_TOLD_WAIT_S
        self.told_s[account] = min(due_s + missing / rate, latest_s)
        return min(due_s, latest_s) - now_s

    def take_back(self, ask: AskGrants, now_s: float) -> None:
        """Put the unused grants that an asker tells back into the buckets, once."""
        for account, counts in ask.unused.items():
            for number, count in (each for each in counts if len(each) == 2):
                lot = self.lots.pop((ask.asker, number, account), None)
                if lot is not None:
                    unused = min(max(0, count), lot.count)
                    self.buckets[account].put_back(lot.take_number, unused, now_s)

    def prune_lots(self, now_s: float) -> None:
        """Forget lots that are too old to be taken back."""
        for key, lot in list(self.lots.items()):
            if now_s - lot.granted_at_s < LOT_LIFETIME_S:
                break
            del self.lots[key]


def is_limit(values: list[float]) -> bool:
    """Return whether values that an asker tells are a rate and a burst."""
    return len(values) == 2 and all(
        math.isfinite(value) and value >= 0 for value in values
    )
