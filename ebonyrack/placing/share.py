"""How many connections to each upstream one proxy may hold, and keep unused.

Load answered: 29 proxies before upstreams that accept 43 connections, and all proxies
lose power at once. The connections of before linger at the upstreams for some seconds,
so that only what was not open then can be opened: the fewer a proxy keeps without need,
the more proxies serve again at once.
"""

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


def compute_kept(share: int, is_near: bool, leads: bool) -> int:
    """Return the connections to an upstream that a proxy keeps unused.

    Args:
        share: Connections that it may hold.
        is_near: Whether the upstream is in the proxy's own data centre.
        leads: Whether it is the primary, which every proxy needs.
    """
    return share if is_near or leads else 0
