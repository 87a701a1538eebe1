"""Sizes and delays of a stand-in upstream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class UpstreamOptions:
    """What one stand-in upstream can carry and how slow it is.

    Attributes:
        connection_limit: Connections accepted in all; more are refused with 53300.
        slots: Statements that run at the same time.
        connection_cost_s: Time that opening a connection takes, in seconds.
        statement_cost_s: Time for which a statement holds a slot, in seconds.
        receive_delay_s: Age that an entry has when a replica has received it.
        apply_delay_s: Time from receiving an entry to showing it in reads.
        link_delay_s: One-way delay between this upstream and the proxies.
        user: User that may connect, or an empty string for anyone.
        administrator: User that is let in when the connections are used up.
        password: Clear-text password asked for, or an empty string for none.
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
