"""Options of the callers of a workload."""

from __future__ import annotations

from dataclasses import dataclass

from ebonyrack.core.address import Address


@dataclass(frozen=True, slots=True)
class WorkloadOptions:
    """Behaviour of the callers of a workload.

    Attributes:
        proxies: Addresses of the proxies that callers switch between.
        user: User name.
        password: Password.
        database: Name of the database group.
        write_share: Share of operations that reserve a slot.
        visitor_share: Share of callers that never write and read a list instead.
        visitor_age: Maximum staleness of visitors' reads, such as `2s`; empty for none.
        token_share: Share of callers that pass a session token from proxy to proxy.
        sample_share: Share of reads after which the serving upstream is queried.
        think_s: Mean pause between two operations, in seconds.
        attempt_timeout_s: Time limit of an attempt, in seconds.
        use_keys: Whether reservations carry an idempotency key.
        fixed_retry_s: Pause before each retry, in seconds; None for the retry-after
            time of the failure.
        run_id: Prefix of all request keys of the run.
    """

    proxies: tuple[Address, ...]
    user: str = "booking"
    password: str = ""
    database: str = "booking"
    write_share: float = 0.1
    visitor_share: float = 0.0
    visitor_age: str = ""
    token_share: float = 0.5
    sample_share: float = 0.2
    think_s: float = 0.0
    attempt_timeout_s: float = 15.0
    use_keys: bool = True
    fixed_retry_s: float | None = None
    run_id: str = "run"
