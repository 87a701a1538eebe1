"""Safeguards of failover, each of which a test can switch off."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Safeguards:
    """What keeps acknowledged writes through a failover.

    Only tests switch one off, to show what it prevents.

    Attributes:
        needs_majority: A primary is promoted only if a majority granted the term.
        picks_highest: The most advanced upstream among them is promoted.
        asks_peers: The other proxies are asked before a primary that does not
            answer this one is replaced.
    """

    needs_majority: bool = True
    picks_highest: bool = True
    asks_peers: bool = True
