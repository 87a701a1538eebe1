"""Limits the connections that a proxy holds and keeps idle to each upstream.

The limits suit 29 proxies in front of upstreams that accept 43 connections, also when
all proxies lose power at once. Upstreams keep the old connections open for some
seconds, so only the remaining ones can be opened meanwhile: the fewer idle connections
a proxy keeps, the more proxies can serve again at once. Until the old ones are gone, a
proxy that has just started takes no more than its part of the others, so that the last
one to start finds one too. Where these are fewer than the proxies, it keeps no idle
connections to the primary, which every proxy needs: it closes each after use, and
another proxy can connect.

Where an upstream accepts fewer connections than there are proxies (118 proxies in front
of upstreams that accept 73), equal shares would leave some proxies without any for
good. Connections then pass from proxy to proxy all the time: they are opened for work,
closed after it, and a proxy that is refused one tries again after a moment. Only the
proxies of an upstream's own data centre keep one, if they leave enough to the others,
as they send it most of its reads. Probes,
which would have to open a connection each, become so rare that all proxies together
send a few a second.
"""

from __future__ import annotations

from msgspec import Struct

# Left for promotions, which open connections outside the pools.
RESERVED_CONNECTIONS = 2
# One proxy may have just started and not be counted yet.
UNCOUNTED_PROXIES = 1
# Upstreams drop the connections of a lost VM after three seconds, and may detect the
# loss somewhat late.
STARTUP_SHORTAGE_S = 3.5
# Proxies that lost power together are back within this time of each other. After it, a
# proxy that wants more than its part takes it, unless the upstream refuses.
STARTUP_SPREAD_S = 1.5
# Connections to one upstream that a proxy may use at once while they are scarce. Most
# proxies have no work for an upstream at any one time.
SCARCE_LIMIT = 3
# Connections that a proxy keeps idle to an upstream of its data centre while they are
# scarce, and the share of the upstream's connections that may be kept so.
SCARCE_IDLE_LIMIT = 1
SCARCE_IDLE_SHARE = 0.7
# Probes of one upstream by all proxies together while connections are scarce: while its
# primary serves, and while a new one is searched for.
SCARCE_PROBES_PER_S = 4.0
SCARCE_SEARCHES_PER_S = 40.0


class ProxyCounts(Struct, frozen=True):
    """Numbers of live proxies, each including this one.

    Attributes:
        live: All that are known to be alive.
        near: Those that may be in the data centre of this proxy.
        strength_rank: Rank of this proxy by its processors; 1 has the most.
    """

    live: int
    near: int
    strength_rank: int


def compute_share(maximum_connections: int, live_proxies: int) -> int:
    """Return how many connections to an upstream one proxy may hold.

    Args:
        maximum_connections: Connections that the upstream accepts in total.
        live_proxies: Number of proxies known to be alive, including this one.
    """
    usable = maximum_connections - RESERVED_CONNECTIONS
    return max(1, usable // (max(1, live_proxies) + UNCOUNTED_PROXIES))


def compute_idle_limit(share: int, is_near: bool, is_primary: bool) -> int:
    """Return how many idle connections to an upstream a proxy keeps.

    Args:
        share: Connections that the proxy may hold.
        is_near: Whether the upstream is in the proxy's data centre.
        is_primary: Whether it is the primary, which every proxy needs.
    """
    return share if is_near or is_primary else 0


def compute_startup_share(maximum_connections: int, live_proxies: int) -> int:
    """Return how many connections a proxy may hold soon after its start.

    All proxies may have started at once, and the connections that they had before may
    still be open.

    Args:
        maximum_connections: Connections that the upstream accepts in total.
        live_proxies: Number of proxies known to be alive, including this one.

    Returns:
        The number; 0 if there isn't one for each.
    """
    live = max(1, live_proxies)
    old_connections = live * compute_share(maximum_connections, live)
    return max(0, maximum_connections - old_connections) // live


def may_be_starting_together(age_s: float) -> bool:
    """Return whether connections from before a proxy's start may still be open.

    Args:
        age_s: Seconds since the proxy started.
    """
    return age_s <= STARTUP_SHORTAGE_S


def may_others_be_starting(age_s: float) -> bool:
    """Return whether proxies that lost power together may not all be back.

    Args:
        age_s: Seconds since the proxy started.
    """
    return age_s <= STARTUP_SPREAD_S


def is_scarce(maximum_connections: int, live_proxies: int) -> bool:
    """Return whether an upstream can't accept a connection from every proxy.

    Args:
        maximum_connections: Connections that the upstream accepts in total.
        live_proxies: Number of proxies known to be alive, including this one.
    """
    usable = maximum_connections - RESERVED_CONNECTIONS
    return usable < live_proxies + UNCOUNTED_PROXIES


def compute_limit(
    maximum_connections: int, counts: ProxyCounts, shares_remainder: bool
) -> int:
    """Return how many connections to an upstream one proxy may use at once.

    Args:
        maximum_connections: Connections that the upstream accepts in total.
        counts: Numbers of live proxies.
        shares_remainder: Whether the proxies with the most processors get one more from
            what equal shares leave over. Pools that several accounts share use it.
    """
    if is_scarce(maximum_connections, counts.live):
        return SCARCE_LIMIT
    share = compute_share(maximum_connections, counts.live)
    usable = maximum_connections - RESERVED_CONNECTIONS
    remainder = usable - share * (counts.live + UNCOUNTED_PROXIES)
    return share + (shares_remainder and counts.strength_rank <= remainder)


def keeps_scarce_connection(maximum_connections: int, near_proxies: int) -> bool:
    """Return whether proxies keep a scarce connection to an upstream near them.

    Args:
        maximum_connections: Connections that the upstream accepts in total.
        near_proxies: Number of live proxies in the upstream's data centre.
    """
    usable = maximum_connections - RESERVED_CONNECTIONS
    return near_proxies + UNCOUNTED_PROXIES <= SCARCE_IDLE_SHARE * usable


def compute_probe_probability(
    probes_per_s: float, live_proxies: int, interval_s: float
) -> float:
    """Return the probability with which a proxy probes, 0 to 1.

    Args:
        probes_per_s: Probes of one upstream by all proxies together.
        live_proxies: Number of proxies known to be alive, including this one.
        interval_s: Time between two decisions of one proxy, in seconds.
    """
    return min(1.0, probes_per_s * interval_s / max(1, live_proxies))
