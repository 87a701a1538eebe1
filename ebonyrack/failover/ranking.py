"""Ranking of the proxies that coordinate the failover of a group."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

COORDINATORS_PER_GROUP = 3


def rank_members(group_name: str, member_names: Iterable[str]) -> list[str]:
    """Order proxies by rendezvous hash: adding or removing one reorders no others.

    Args:
        group_name: Name of the group.
        member_names: Names of the live proxies.

    Returns:
        The names; the first `COORDINATORS_PER_GROUP` coordinate the group.
    """

    def compute_weight(name: str) -> bytes:
        return hashlib.sha256(f"{group_name}/{name}".encode()).digest()

    return sorted(member_names, key=compute_weight)
