"""Safety rules of failover, which tests can disable one by one."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Safeguards:
    """Rules that protect acknowledged writes and healthy primaries in a failover.

    Only tests disable one, to show what it prevents.

    Attributes:
        needs_majority: A primary is promoted only if a majority granted the term.
        promotes_most_advanced: Of the upstreams that granted the term, the one with
            the highest log position is promoted.
        needs_pre_vote: The other proxies are asked before a primary that does not
            answer this one is replaced.
    """

    needs_majority: bool = True
    promotes_most_advanced: bool = True
    needs_pre_vote: bool = True
