"""Decides whether a transaction may take the last connection of a pool.

The load that it answers: callers of one client account that begin, write and then rest,
144 of them at once in front of upstreams with some eighty connections. Without a
reserve they hold every connection of a proxy's share, and all other accounts wait until
the transactions are ended for their idleness.
"""

from __future__ import annotations


def may_take_last(begins_transaction: bool, resting_transactions: int) -> bool:
    """Return whether a request of an account may take the last connection.

    A single statement gives it back at once. A transaction is refused it while its
    account rests in another one.

    Args:
        begins_transaction: Whether the request begins a transaction.
        resting_transactions: Transactions of the account in which the caller rests.
    """
    return not begins_transaction or resting_transactions == 0
