"""Counts the live proxies that a proxy shares the upstreams' connections with."""

from __future__ import annotations

from ebonyrack.members.presence import Presence
from ebonyrack.placing.connection_share import ProxyCounts


def count_proxies(presence: Presence, data_centre: str) -> ProxyCounts:
    """Return the numbers of live proxies.

    Proxies that told nothing of themselves count as near and as stronger.

    Args:
        presence: The proxies that the store lists.
        data_centre: Data centre of this proxy.
    """
    live = presence.live_count
    own = presence.proxies.get(presence.name)
    if own is None:
        return ProxyCounts(live, live, live)
    others = [each for each in presence.proxies.values() if each is not own]
    elsewhere = sum(each.data_centre != data_centre for each in others)
    weaker = sum(
        (each.processor_share, each.name) < (own.processor_share, own.name)
        for each in others
    )
    return ProxyCounts(live, live - elsewhere, live - weaker)
