"""How the callers of a workload behave."""

from __future__ import annotations

from dataclasses import dataclass

from ebonyrack.core.address import Address


@dataclass(frozen=True, slots=True)
class WorkloadOptions:
    """How callers behave.

    Attributes:
        proxies: Proxies that callers roam between.
        user: User.
        password: Password.
        database: Name of the database group.
        write_share: Share of operations that reserve a slot.
        visitor_share: Share of callers that never write and read a list instead.
        visitor_age: Age that visitors accept, such as `2s`; empty for none.
        token_share: Share of callers that hand a token from proxy to proxy.
        sample_share: Share of reads after which the serving upstream is asked for.
        think_s: Mean pause between two operations, in seconds.
        attempt_timeout_s: Longest wait for an answer, in seconds.
        use_keys: Whether reservations carry an idempotency key.
        fixed_retry_s: Pause before each repeat, whatever a refusal says, in seconds;
            None to obey refusals.
        run_id: Start of every request key of the run.
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
