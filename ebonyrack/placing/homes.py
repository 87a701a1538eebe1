"""Chooses the few proxies that hold the connections to a group's upstreams.

The load: more proxies than connections, such as 118 proxies in front of upstreams
that accept 73. Equal shares would be below one connection for each proxy, so some
would never get one, and others would open one for each statement, which takes a slot
of the upstream as long as a statement. Instead a few proxies are the group's homes.
They hold all connections, and the others hand their work to them.

Every proxy computes the same homes from the same live proxies by a rendezvous hash, so
that the arrival or the loss of one proxy changes one home at most in each data centre.
Views of the live proxies differ for some seconds; the connections of a home are few
enough for some homes more than planned.
"""

from __future__ import annotations

import hashlib
import heapq
import math
from collections.abc import Callable
from collections.abc import Collection

from msgspec import Struct

from ebonyrack.peers.proxy_entry import ProxyEntry
from ebonyrack.placing.connection_share import RESERVED_CONNECTIONS
from ebonyrack.placing.connection_share import is_scarce

# Connections to each upstream that a home has at least, so that open transactions don't
# keep other statements waiting.
CONNECTIONS_PER_HOME = 8
MINIMUM_HOMES = 2
# Homes that other views of the live proxies may add to this one's.
UNCOUNTED_HOMES = 2
# Connections to each upstream that the other proxies together may open for single
# statements while no home is in reach.
DIRECT_CONNECTIONS = 4
# Connections to each upstream that a proxy which is no home may hold at a time.
DIRECT_SHARE = 1
HASH_BYTES = 8


class HomePlan(Struct, frozen=True):
    """The homes of a group.

    Attributes:
        homes: The homes by name.
        connection_share: Connections to each upstream that a home may hold.
    """

    homes: dict[str, ProxyEntry]
    connection_share: int


class HomeLoad(Struct, frozen=True):
    """What a proxy knows of a home that it may hand work to.

    Attributes:
        entry: The home.
        is_near: Whether it is in the same data centre.
        is_linked: Whether a link to it is open.
        is_avoided: Whether it failed or declined work lately.
        outstanding: Number of questions without an answer.
    """

    entry: ProxyEntry
    is_near: bool
    is_linked: bool
    is_avoided: bool
    outstanding: int


def plan_homes(
    group: str,
    maximum_connections: int,
    live_proxies: int,
    proxies: Collection[ProxyEntry],
) -> HomePlan | None:
    """Choose the homes of a group.

    Args:
        group: Name of the group.
        maximum_connections: Connections that each of its upstreams accepts in total.
        live_proxies: Number of proxies known to be alive, including this one.
        proxies: The live proxies that can be asked.

    Returns:
        The homes; None if each proxy has connections of its own, or too few proxies
        can be asked.
    """
    if not is_scarce(maximum_connections, live_proxies):
        return None
    usable = maximum_connections - RESERVED_CONNECTIONS - DIRECT_CONNECTIONS
    count = max(MINIMUM_HOMES, usable // CONNECTIONS_PER_HOME - UNCOUNTED_HOMES)
    if len(proxies) < count:
        return None
    homes = choose_homes(group, count, proxies)
    share = max(1, usable // (count + UNCOUNTED_HOMES))
    return HomePlan({entry.name: entry for entry in homes}, share)


def choose_homes(
    group: str, count: int, proxies: Collection[ProxyEntry]
) -> list[ProxyEntry]:
    """Return the homes: the first of each data centre, the second of each, and so on.

    Other proxies prefer the homes of their own data centre, so each needs as many.
    """
    places: dict[str, int] = {}
    ordered: list[tuple[int, float, ProxyEntry]] = []
    ranked = [(compute_rank(group, entry), entry) for entry in proxies]
    for rank, entry in sorted(ranked, key=lambda item: item[0]):
        place = places[entry.data_centre] = places.get(entry.data_centre, -1) + 1
        ordered.append((place, rank, entry))
    first = heapq.nsmallest(count, ordered, key=lambda item: item[:2])
    return [entry for _, _, entry in first]


def compute_rank(group: str, entry: ProxyEntry) -> float:
    """Return the rank of a proxy as a home, the lowest first.

    The ranks are exponentially distributed with the processor share as their rate, so
    that the chance of a proxy to be first is proportional to its share.
    """
    text = f"{group}\n{entry.name}"
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    uniform = (int.from_bytes(digest, "big") + 0.5) / 2 ** (8 * HASH_BYTES)
    return -math.log(uniform) / entry.processor_share


def order_homes(
    loads: Collection[HomeLoad], draw: Callable[[], float]
) -> list[HomeLoad]:
    """Return the homes in the order in which they are asked.

    Homes that work come first, then those with a link, near ones, and those with the
    least outstanding work for their processor share.

    Args:
        loads: The homes.
        draw: Returns random numbers, which decide between equal homes.
    """
    return sorted(
        loads,
        key=lambda load: (
            load.is_avoided,
            not load.is_linked,
            not load.is_near,
            (load.outstanding + 1) / load.entry.processor_share,
            draw(),
        ),
    )
