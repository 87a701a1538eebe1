"""Token bucket whose unused tokens can be put back without exceeding its rate.

What was taken and not put back never differs from what a bucket would allow from which
the tokens that were put back had never been taken. Putting back more than that would
refill the bucket twice, because it refills while others hold its tokens.
"""

from __future__ import annotations

from msgspec import Struct
from msgspec import field

from ebonyrack.limits.grant_terms import GrantTerms

# Takes that are remembered one by one; older ones are remembered together.
MAXIMUM_TAKES = 64


class TakeRecord(Struct):
    """The room in a bucket just before tokens were taken.

    Attributes:
        number: Number of the take.
        room: Tokens that were missing to a full bucket.
    """

    number: int
    room: float


class TokenBucket(Struct):
    """Tokens of one account, of which each permits one operation. It starts empty.

    Attributes:
        terms: Rate and capacity.
        refilled_at_s: Time of the last refill, in seconds on the caller's clock.
        level: Available tokens.
        take_count: Number of takes so far.
        takes: Room before earlier takes; those that never limit a return are left out.
    """

    terms: GrantTerms
    refilled_at_s: float
    level: float = 0.0
    take_count: int = 0
    takes: list[TakeRecord] = field(default_factory=list)

    @property
    def room(self) -> float:
        """Tokens that are missing to a full bucket."""
        return self.terms.capacity - self.level

    def refill(self, now_s: float) -> None:
        """Add the tokens of the time since the last refill."""
        elapsed_s = max(0.0, now_s - self.refilled_at_s)
        self.refilled_at_s = max(now_s, self.refilled_at_s)
        added = elapsed_s * self.terms.rate_per_s
        self.level = min(self.terms.capacity, self.level + added)

    def set_terms(self, terms: GrantTerms, now_s: float) -> None:
        """Use other terms from now on; earlier takes can't be put back any more."""
        self.refill(now_s)
        self.terms = terms
        self.level = min(self.level, terms.capacity)
        self.takes.clear()

    def take(self, count: int, now_s: float) -> int:
        """Take whole tokens.

        Args:
            count: Number of tokens wanted.
            now_s: Current time.

        Returns:
            Number of tokens taken; the take has the number `take_count`.
        """
        self.refill(now_s)
        taken = max(0, min(count, int(self.level)))
        if taken:
            self.take_count += 1
            self.record_room()
            self.level -= taken
        return taken

    def record_room(self) -> None:
        """Record the room before the take that has just been counted."""
        room = self.room
        while self.takes and self.takes[-1].room >= room:
            self.takes.pop()
        self.takes.append(TakeRecord(self.take_count, room))
        if len(self.takes) > MAXIMUM_TAKES:
            oldest = self.takes.pop(0)
            self.takes[0].room = min(oldest.room, self.takes[0].room)

    def put_back(self, take_number: int, count: int, now_s: float) -> float:
        """Put unused tokens back, as far as they would still be there.

        Args:
            take_number: Number of the take with which they were taken.
            count: Number of unused tokens.
            now_s: Current time.

        Returns:
            Number of tokens added, which need not be whole.
        """
        self.refill(now_s)
        later = [record for record in self.takes if record.number > take_number]
        room = min([self.room, *(record.room for record in later)])
        added = max(0.0, min(float(count), room))
        for record in later:
            record.room -= added
        self.level += added
        return added

    def measure_wait(self, now_s: float) -> float:
        """Return the seconds until a whole token is available."""
        self.refill(now_s)
        missing = max(0.0, 1.0 - self.level)
        if missing == 0.0:
            return 0.0
        rate = self.terms.rate_per_s
        return missing / rate if rate > 0 else float("inf")
