"""Client accounts of a soak: their keys, and checks of what ran for them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field

from ebonyrack.standins.line_group import StatementRecord

ACCOUNTS = ("account-0", "account-1", "account-2")
# Key of an account that keeps it; it asks whether a proxy has recovered.
LASTING_KEY = "lasting-key"
# Key that no configuration ever holds, and share of the sessions that show it.
FOREIGN_KEY = "foreign-key"
FOREIGN_SHARE = 0.05
# Share of the sessions that show a key which was withdrawn.
WITHDRAWN_SHARE = 0.1
# A configuration is in force within this time at proxies that reach the store.
APPLY_LIMIT_S = 5.0


@dataclass(frozen=True, slots=True)
class SentStatement:
    """A statement that a caller sent.

    Attributes:
        key: Key of its session.
        account: The account that held the key.
        sent_s: Monotonic time of sending.
    """

    key: str
    account: str
    sent_s: float


def build_keys() -> dict[str, list[str]]:
    """Return the first keys of the accounts."""
    keys = {account: [f"{account}-1", f"{account}-2"] for account in ACCOUNTS}
    return {**keys, "lasting": [LASTING_KEY]}


@dataclass(slots=True)
class SoakAccounts:
    """The accounts of a soak.

    Attributes:
        keys: Keys by name of the account, the oldest first.
        withdrawn_s: Monotonic time at which the withdrawal was acknowledged, by key.
        sent: Statement that was sent, by its ID.
        number: Number of the last key.
        recovered_s: Monotonic time from which on no fault is injected.
    """

    keys: dict[str, list[str]] = field(default_factory=build_keys)
    withdrawn_s: dict[str, float] = field(default_factory=dict)
    sent: dict[str, SentStatement] = field(default_factory=dict)
    number: int = 2
    recovered_s: float = float("inf")

    def choose_key(self, account: str, choices: random.Random) -> str:
        """Return a key of an account, or seldom a withdrawn or invented one."""
        draw = choices.random()
        if draw < FOREIGN_SHARE:
            return FOREIGN_KEY
        withdrawn = [key for key in self.withdrawn_s if key.startswith(account)]
        if withdrawn and draw < FOREIGN_SHARE + WITHDRAWN_SHARE:
            return choices.choice(withdrawn)
        return choices.choice(self.keys[account])

    def replace_oldest_key(self, account: str) -> str:
        """Give an account another key for its oldest one, which is returned."""
        self.number += 1
        oldest, *others = self.keys[account]
        self.keys[account] = [*others, f"{account}-{self.number}"]
        return oldest

    def find_violations(self, records: list[StatementRecord]) -> list[str]:
        """Describe the statements that ran and should not have.

        While faults are injected, proxies may not reach the store, so the limit counts
        from their end.

        Args:
            records: Statements that upstreams have run.
        """
        violations = []
        for record in records:
            sent = self.sent.get(record.request_id)
            if sent is None:
                continue
            if sent.key == FOREIGN_KEY:
                violations.append(f"ran for a key that nobody holds: {record.text}")
            elif record.account != sent.account:
                violations.append(
                    f"ran for {record.account} instead of {sent.account}: {record.text}"
                )
            withdrawn_s = self.withdrawn_s.get(sent.key, float("inf"))
            if sent.sent_s > max(withdrawn_s, self.recovered_s) + APPLY_LIMIT_S:
                violations.append(f"ran for withdrawn key {sent.key}: {record.text}")
        return violations
