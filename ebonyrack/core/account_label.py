"""Bounds the number of client accounts that metrics tell apart."""

from __future__ import annotations

MAXIMUM_LABELS = 100
OTHER_ACCOUNTS = "other"
NO_ACCOUNT = "none"

labels: set[str] = set()


def label_account(account: str) -> str:
    """Return the label of an account: its name for the first ones, then a common one.

    Args:
        account: Name of the account; empty for none.
    """
    if not account:
        return NO_ACCOUNT
    if account not in labels:
        if len(labels) >= MAXIMUM_LABELS:
            return OTHER_ACCOUNTS
        labels.add(account)
    return account
