"""Shares of an upstream's scarce connections between the proxies."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ebonyrack.config.sections import GroupSection


def compute_share(section: GroupSection, live_proxies: int) -> int:
    """Divide an upstream's connections evenly between the live proxies.

    Args:
        section: The group.
        live_proxies: Proxies alive, this one included.

    Returns:
        Connections that one proxy may open to each upstream, at least 1.
    """
    usable = section.connection_limit - section.connection_reserve
    return max(1, usable // max(1, live_proxies))
