"""How many connections to each upstream one proxy may hold, and keep unused.

Load answered: 29 proxies before upstreams that accept 43 connections, and all proxies
lose power at once. The connections of before linger at the upstreams for some seconds,
so that only what was not open then can be opened: the fewer a proxy keeps without need,
the more proxies serve again at once. Those to the primary, which all need, are passed
from hand to hand until the lingering ones are gone: a proxy that has just started keeps
none unused.
"""

from __future__ import annotations

# Left for promotions, which open connections outside the pools.
RESERVED_CONNECTIONS = 2
# One more proxy than is known may have just started.
UNCOUNTED_PROXIES = 1
# Upstreams drop connections of a VM that is gone after three seconds, and may notice
# that somewhat late.
STARTUP_SHORTAGE_S = 3.5


def compute_share(maximum_connections: int, live_proxies: int) -> int:
    """Return the connections that one proxy may hold.

    Args:
        maximum_connections: Connections that the upstream accepts from everyone.
        live_proxies: Proxies that are known to live, this one included.
    """
    usable = maximum_connections - RESERVED_CONNECTIONS
    return max(1, usable // (max(1, live_proxies) + UNCOUNTED_PROXIES))


def compute_idle_limit(share: int, is_near: bool, is_primary: bool) -> int:
    """Return the connections to an upstream that a proxy keeps unused.

    Args:
        share: Connections that it may hold.
        is_near: Whether the upstream is in the proxy's own data centre.
        is_primary: Whether it is the primary, which every proxy needs.
    """
    return share if is_near or is_primary else 0


def is_short_of_connections(
    age_s: float, maximum_connections: int, live_proxies: int
) -> bool:
    """Return whether a proxy leaves unused connections to the primary to others.

    It does so where not every proxy can have one beside all that may linger.

    Args:
        age_s: Seconds since it has started.
        maximum_connections: Connections that the upstream accepts from everyone.
        live_proxies: Proxies that are known to live, this one included.
    """
    lingering = live_proxies * compute_share(maximum_connections, live_proxies)
    is_short = lingering + live_proxies > maximum_connections
    return is_short and age_s <= STARTUP_SHORTAGE_S
