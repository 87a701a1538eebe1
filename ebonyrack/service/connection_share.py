"""Division of an upstream's connections between the proxies."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ebonyrack.config.sections import GroupSection


def compute_connection_share(section: GroupSection, live_proxies: int) -> int:
    """Divide an upstream's connections evenly between the live proxies.

    Args:
        section: The group's section of the document.
        live_proxies: Number of live proxies, including this one.

    Returns:
        Connections that one proxy may open to each upstream, at least 1.
    """
    usable = section.connection_limit - section.connection_reserve
    return max(1, usable // max(1, live_proxies))
