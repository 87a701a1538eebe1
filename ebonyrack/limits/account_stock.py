"""The grants of one account that a proxy holds, and how many more it should ask for.

Load pattern: many accounts of very unequal size, each of whose callers stay with few
proxies. A proxy holds grants only of accounts that its callers have used recently, and
for no longer than their use can be expected. Of accounts whose grants are valid for
long it holds one more, which serves them while the owner is lost.
"""

from __future__ import annotations

import math

from msgspec import Struct
from msgspec import field

from ebonyrack.limits.use_rate import UseRate

# Part of the validity for which a proxy holds grants ahead of their use.
HELD_SHARE = 0.8
LONGEST_HELD_S = 4.0
# A validity from which on a grant is worth holding although it may not be used.
LONG_VALIDITY_S = 2.0
# Expected uses from which on grants are asked for ahead of need.
LEAST_EXPECTED_USES = 1.5
LEAST_EXPECTED_LONG_USES = 0.2
# Questions for an account that has just got too little are not repeated for this long.
SHORTAGE_PAUSE_S = 0.1
# Unused grants that are remembered to be told back, by question.
MAXIMUM_UNUSED = 16


class Token(Struct, frozen=True):
    """Permission for one operation.

    Attributes:
        question: Number of the question that was answered with it.
        version: Version of the configuration that its limit comes from.
        expires_s: Time from which on it may not be used, on the boot clock.
    """

    question: int
    version: int
    expires_s: float


class AccountStock(Struct):
    """Grants of one account at one proxy.

    Attributes:
        tokens: Tokens that aren't used, the next to expire first.
        unused: Number of grants that expired unused, by question.
        uses: Rate of operations.
        validity_s: Validity of the newest grants.
        lowest_version: Version since which the limit is not lower than it was; tokens
            of earlier versions are not used.
        limit: Rate and burst in force here, or None.
        short_until_s: Time up to which the owner isn't asked again.
        due_s: Time at which it may have grants again.
    """

    tokens: list[Token] = field(default_factory=list)
    unused: dict[int, int] = field(default_factory=dict)
    uses: UseRate = field(default_factory=UseRate)
    validity_s: float = 0.0
    lowest_version: int = 0
    limit: tuple[float, float] | None = None
    short_until_s: float = 0.0
    due_s: float = 0.0

    def set_limit(self, limit: tuple[float, float], version: int, now_s: float) -> None:
        """Put a limit in force; a lower one ends the grants of earlier versions.

        Args:
            limit: Rate and burst.
            version: Its version.
            now_s: Current time.
        """
        known = self.limit
        self.limit = limit
        if known is None or limit == known:
            return
        if limit[0] < known[0] or limit[1] < known[1]:
            self.lowest_version = version
            self.drop_expired(now_s)
        else:
            self.short_until_s = 0.0

    def is_usable(self, token: Token, now_s: float) -> bool:
        """Return whether a token may be used now."""
        return now_s < token.expires_s and token.version >= self.lowest_version

    def drop_expired(self, now_s: float) -> None:
        """Move tokens that may not be used any more to those that are told back."""
        kept = []
        for token in self.tokens:
            if self.is_usable(token, now_s):
                kept.append(token)
            else:
                self.add_unused(token.question, 1)
        self.tokens = kept

    def add_unused(self, question: int, count: int) -> None:
        """Record grants that will not be used, to be told back."""
        self.unused[question] = self.unused.get(question, 0) + count
        while len(self.unused) > MAXIMUM_UNUSED:
            del self.unused[next(iter(self.unused))]

    def forget_unused(self, told: list[list[int]]) -> None:
        """Forget unused grants that were told back.

        Args:
            told: Pairs of the number of a question and of the unused grants.
        """
        for number, count in told:
            if self.unused.get(number) == count:
                del self.unused[number]

    def take(self, now_s: float) -> Token | None:
        """Take the token that expires first, or None."""
        self.drop_expired(now_s)
        return self.tokens.pop(0) if self.tokens else None

    def put_back(self, token: Token, now_s: float) -> None:
        """Return a token that was taken and not used."""
        self.tokens.insert(0, token)
        self.tokens.sort(key=lambda held: held.expires_s)
        self.drop_expired(now_s)

    def add(self, token: Token, count: int) -> None:
        """Add new tokens that are alike."""
        self.tokens += [token] * count
        self.tokens.sort(key=lambda held: held.expires_s)

    def compute_target(self, now_s: float) -> int:
        """Return the number of tokens that should be held now."""
        held_s = min(HELD_SHARE * self.validity_s, LONGEST_HELD_S)
        expected = self.uses.compute(now_s) * held_s
        is_long = self.validity_s >= LONG_VALIDITY_S
        least = LEAST_EXPECTED_LONG_USES if is_long else LEAST_EXPECTED_USES
        return math.ceil(expected) if expected >= least else 0

    def needs_more(self, now_s: float) -> bool:
        """Return whether to ask for grants ahead of need."""
        if now_s < self.short_until_s:
            return False
        return 2 * len(self.tokens) < self.compute_target(now_s)

    def record_shortage(self, due_in_s: float, now_s: float) -> None:
        """Record that the owner granted less than needed.

        Args:
            due_in_s: Seconds after which it may have more.
            now_s: Current time.
        """
        self.short_until_s = now_s + min(SHORTAGE_PAUSE_S, due_in_s)
        self.due_s = now_s + due_in_s
