"""Names of the largest client accounts as labels of metrics, in bounded number."""

from __future__ import annotations

from collections import Counter

MAXIMUM_LABELS = 20
# An account gets its own label with this share of the recent requests.
LARGE_SHARE = 0.02
# Recent requests: from this number on, all counts are halved.
RECENT_REQUESTS = 10_000
# Requests before the first label is given, so that a start names no random accounts.
MINIMUM_REQUESTS = 500
OTHER = "other"


class AccountLabels:
    """Chooses the label under which requests of an account are counted.

    A label that was given is kept, as a metric that moved between labels would count
    twice.

    Attributes:
        counts: Recent requests by account.
        total: Recent requests of all accounts.
        labels: Accounts with a label of their own.
    """

    __slots__ = ("counts", "total", "labels")

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.total = 0
        self.labels: set[str] = set()

    def count_request(self, account: str) -> str:
        """Count a request of an account and return its label."""
        self.counts[account] += 1
        self.total += 1
        if account not in self.labels and self.is_large(account):
            self.labels.add(account)
        if self.total >= RECENT_REQUESTS:
            halves = {name: count // 2 for name, count in self.counts.items()}
            self.counts = Counter({name: each for name, each in halves.items() if each})
            self.total = self.counts.total()
        return account if account in self.labels else OTHER

    def is_large(self, account: str) -> bool:
        """Return whether an account may have a label of its own."""
        if len(self.labels) >= MAXIMUM_LABELS or self.total < MINIMUM_REQUESTS:
            return False
        return self.counts[account] >= LARGE_SHARE * self.total
