"""How many connections to each upstream one proxy may hold.

Load answered: 29 proxies before upstreams that accept 43 connections. A share of one
would let each transaction that rests between its statements hold up all others of its
proxy, while most shares are unused at any moment. So a proxy may borrow beyond its
share and gives back what it doesn't use; after a refusal, when many connect at once,
the share alone holds for a while.
"""

from __future__ import annotations

# Left for promotions, which open connections outside the pools.
RESERVED_CONNECTIONS = 2
# One more proxy than is known may have just started.
UNSEEN_PROXIES = 1
# Connections beyond the share; two transactions of one group rarely meet in a proxy.
BORROWED_CONNECTIONS = 2
# Time without a refusal after which connections may be borrowed; upstreams drop
# connections of proxies that are gone after about as long.
CALM_S = 3.0


def compute_share(maximum_connections: int, live_proxies: int) -> int:
    """Return the connections that one proxy may hold.

    Args:
        maximum_connections: Connections that the upstream accepts from everyone.
        live_proxies: Proxies that are known to live, this one included.
    """
    usable = maximum_connections - RESERVED_CONNECTIONS
    return max(1, usable // (max(1, live_proxies) + UNSEEN_PROXIES))


def compute_limit(share: int, refused_for_s: float) -> int:
    """Return the connections that one proxy may hold now, borrowed ones included.

    Args:
        share: Its share.
        refused_for_s: Seconds since the upstream last refused a connection.
    """
    return share + (BORROWED_CONNECTIONS if refused_for_s > CALM_S else 0)
