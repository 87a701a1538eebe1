"""Options of a stand-in upstream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class UpstreamOptions:
    """Capacity, delays and authentication of a stand-in upstream.

    Attributes:
        connection_limit: Maximum number of connections; more are rejected with 53300.
        slots: Maximum number of statements that run concurrently.
        connection_cost_s: Time that opening a connection takes, in seconds.
        statement_cost_s: Time for which a statement occupies a slot, in seconds.
        receive_delay_s: Delay with which a replica receives entries, in seconds.
        apply_delay_s: Time from receiving an entry to applying it, in seconds.
        link_delay_s: One-way delay between this upstream and the proxies, in seconds.
        user: User that may connect, or an empty string for any.
        administrator: User that may connect beyond the connection limit.
        password: Required cleartext password, or an empty string for none.
    """

    connection_limit: int = 100
    slots: int = 64
    connection_cost_s: float = 0.0
    statement_cost_s: float = 0.0
    receive_delay_s: float = 0.0
    apply_delay_s: float = 0.0
    link_delay_s: float = 0.0
    user: str = ""
    administrator: str = "postgres"
    password: str = ""
