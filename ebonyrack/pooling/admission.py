"""Bounded, fair queue for connections that refuses excess requests at once."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.pooling.account_retry import AccountRetries
from ebonyrack.pooling.fair_order import FairOrder
from ebonyrack.pooling.fair_order import Waiter
from ebonyrack.pooling.wait_estimator import WaitEstimator

# Largest share of the queue that the requests of one client account take.
MAXIMUM_ACCOUNT_SHARE = 0.25


class AdmissionQueue(FairOrder):
    """Bounded queue that serves callers in proportion to their weights.

    A flood from one caller takes no more than that caller's share. When the queue is
    full, the newest waiter of the caller with the most waiters for its weight is
    refused in favour of a caller with fewer.

    Attributes:
        limit: Largest number of waiters.
        estimator: Estimates waits from the service times of its requests.
        statement_estimator: Estimates the waits of client accounts, from the service
            times of single statements: connections in whose transactions callers rest
            don't count as servers, so their times must not count either.
        retries: Retry-after times of the client accounts.
        arrivals: Sequence numbers for requests in the order of arrival.
    """

    __slots__ = (
        "limit",
        "estimator",
        "statement_estimator",
        "retries",
        "arrivals",
    )

    def __init__(self, limit: int) -> None:
        super().__init__()
        self.limit = limit
        self.estimator = WaitEstimator()
        self.statement_estimator = WaitEstimator()
        self.retries = AccountRetries()
        self.arrivals = itertools.count()

    def add(self, waiter: Waiter, servers: int) -> None:
        """Queue a request, or refuse it at once.

        Args:
            waiter: The request.
            servers: Connections that serve the queue.

        Raises:
            RequestError: WAIT_TOO_LONG if the expected wait ends after the deadline,
                QUEUE_FULL if the queue has no room for it.
        """
        priority = waiter.terms.priority if waiter.account else None
        expected_s = self.estimate_wait(
            waiter.caller, servers, priority, waiter.account
        )
        if now_s() + expected_s > waiter.deadline_s:
            raise self.build_refusal(
                ErrorKind.WAIT_TOO_LONG,
                f"expected wait {expected_s:.3f} s",
                servers,
                waiter.account,
            )
        self.check_account_bound(waiter, servers)
        if self.count >= self.limit:
            self.make_room(waiter, servers)
        self.insert(waiter)

    def insert(self, waiter: Waiter) -> None:
        """Insert a request into its queue and create the future of its grant.

        Args:
            waiter: The request, which may have been granted a slot before.
        """
        waiter.granted = asyncio.get_running_loop().create_future()
        super().insert(waiter)

    def fail_all(self, build_error: Callable[[], Exception]) -> None:
        """End every wait with an error.

        Args:
            build_error: Builds the error for one waiter.
        """
        while (waiter := self.pop()) is not None:
            fail_waiter(waiter, build_error())

    def check_account_bound(self, waiter: Waiter, servers: int) -> None:
        """Refuse a request whose account takes its share of the queue.

        Args:
            waiter: The request.
            servers: Connections that serve the queue.

        Raises:
            RequestError: QUEUE_FULL if the account has too many waiters.
        """
        bound = max(1.0, MAXIMUM_ACCOUNT_SHARE * self.limit)
        if waiter.account and self.count_waiting(waiter.caller) >= bound:
            raise self.build_refusal(ErrorKind.QUEUE_FULL, "", servers, waiter.account)

    def make_room(self, waiter: Waiter, servers: int) -> None:
        """Refuse the newest waiter of the caller with the most for its weight.

        Args:
            waiter: The request that needs room in the queue.
            servers: Connections that serve the queue.

        Raises:
            RequestError: QUEUE_FULL if no other caller has more waiters for its weight.
        """
        name = self.find_fullest()
        fullest = self.callers[name]
        waiting_count = self.count_waiting(waiter.caller)
        load = len(fullest.waiters) / fullest.weight
        if (waiting_count + 1) / self.get_weight(waiter.caller) >= load:
            raise self.build_refusal(ErrorKind.QUEUE_FULL, "", servers, waiter.account)
        self.refuse_newest(name, servers)

    def requeue(self, waiter: Waiter, servers: int) -> None:
        """Queue a request again whose granted slot could not be used.

        It keeps its place in the order of arrival. If the queue has filled up
        meanwhile, the newest waiter of the caller with the most waiters for its
        weight is refused.

        Args:
            waiter: The request.
            servers: Connections that serve the queue.
        """
        self.insert(waiter)
        if self.count > self.limit:
            self.refuse_newest(self.find_fullest(), servers)

    def refuse_newest(self, name: str, servers: int) -> None:
        """Refuse the newest waiter of a caller.

        Args:
            name: Name of the caller.
            servers: Connections that serve the queue.
        """
        waiter = self.callers[name].waiters[-1]
        self.discard(waiter)
        fail_waiter(
            waiter,
            self.build_refusal(ErrorKind.QUEUE_FULL, "", servers, waiter.account),
        )

    def refuse_hopeless(self, servers: int) -> None:
        """Refuse waiting requests of accounts that can't be served in time any more.

        Args:
            servers: Connections that serve the queue.
        """
        interval_s = self.statement_estimator.estimate_wait(1, servers)
        service_s = self.statement_estimator.service_s
        for waiter in self.list_hopeless(now_s(), interval_s, service_s):
            self.discard(waiter)
            refusal = self.build_refusal(
                ErrorKind.WAIT_TOO_LONG,
                "its turn comes too late",
                servers,
                waiter.account,
            )
            fail_waiter(waiter, refusal)

    def record_service_time(self, held_s: float, is_transaction: bool) -> None:
        """Update the estimates with the time for which a connection was held.

        Args:
            held_s: Seconds between grant and release.
            is_transaction: Whether it was held for a transaction.
        """
        self.estimator.record_service_time(held_s)
        if not is_transaction:
            self.statement_estimator.record_service_time(held_s)

    def estimate_wait(
        self,
        caller: str,
        servers: int,
        priority: int | None = None,
        account: str | None = "",
    ) -> float:
        """Return the expected wait of a new request of a caller, in seconds.

        Args:
            caller: Name in whose queue it would wait.
            servers: Connections that serve the queue.
            priority: Importance among the requests of the caller; None for the least.
            account: Client account of the request; None or empty if it has none.
        """
        rank = 1 + self.count_waiting(caller, priority)
        estimator = self.statement_estimator if account else self.estimator
        return estimator.estimate_wait(self.count_turns(caller, rank), servers)

    def build_refusal(
        self,
        kind: ErrorKind,
        reason: str,
        servers: int,
        account: str | None = None,
    ) -> RequestError:
        """Build a refusal with a retry-after time.

        Args:
            kind: Kind of refusal.
            reason: Why the request is refused.
            servers: Connections that serve the queue.
            account: Client account of the request, which determines the time; None or
                empty if it has none.

        Returns:
            The error.
        """
        if not account:
            retry_after_s = self.estimator.schedule_retry(self.count, servers)
        else:
            retry_after_s = self.retries.schedule(
                account,
                self.estimate_wait(account, servers, None, account),
                self.statement_estimator.estimate_wait(1, servers),
                self.weights,
                now_s(),
            )
        return RequestError(kind, reason, retry_after_s)


def fail_waiter(waiter: Waiter, error: Exception) -> None:
    """End one wait with an error.

    Args:
        waiter: The request.
        error: The error.
    """
    if waiter.granted is not None and not waiter.granted.done():
        waiter.granted.set_exception(error)
