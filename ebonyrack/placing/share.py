"""How many connections to each upstream one proxy may hold."""

from __future__ import annotations

# Left for promotions, which open connections outside the pools.
RESERVED_CONNECTIONS = 2
# One more proxy than is known may have just started.
UNSEEN_PROXIES = 1


def compute_share(maximum_connections: int, live_proxies: int) -> int:
    """Return the connections that one proxy may hold.

    Args:
        maximum_connections: Connections that the upstream accepts from everyone.
        live_proxies: Proxies that are known to live, this one included.
    """
    usable = maximum_connections - RESERVED_CONNECTIONS
    return max(1, usable // (max(1, live_proxies) + UNSEEN_PROXIES))
