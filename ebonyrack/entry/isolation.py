"""Sends callers to other proxies while this one reaches too little."""

from __future__ import annotations

from loguru import logger

from ebonyrack.core.clock import boot_time_s
from ebonyrack.entry.listener import BALANCER_REMOVAL_S
from ebonyrack.entry.listener import Listener
from ebonyrack.members.group import Group
from ebonyrack.store.follower import StoreAvailability

# A proxy counts as isolated once it has reached neither the store nor some group's
# primary for this long; the store is queried at least every 2 s, a primary several
# times a second.
ISOLATED_AFTER_S = 1.0


class Isolation:
    """Whether this proxy is isolated, and since when.

    Attributes:
        groups: Database groups by name.
        store_availability: Whether the store answers.
        listener: Holds the callers' sessions.
        since_s: Time since which the proxy is isolated, or None; reset to the current
            time whenever idle sessions are closed.
    """

    __slots__ = ("groups", "store_availability", "listener", "since_s")

    def __init__(
        self,
        groups: dict[str, Group],
        store_availability: StoreAvailability,
        listener: Listener,
    ) -> None:
        self.groups = groups
        self.store_availability = store_availability
        self.listener = listener
        self.since_s: float | None = None

    @property
    def is_isolated(self) -> bool:
        """Whether another proxy would serve callers better.

        True if neither the store nor some group's primary has been reachable from here
        for a while: other proxies may have replaced that primary meanwhile.
        """
        if self.store_availability.compute_unavailable_s() < ISOLATED_AFTER_S:
            return False
        groups = self.groups.values()
        return any(group.measure_outage() > ISOLATED_AFTER_S for group in groups)

    def shed_if_isolated(self) -> None:
        """Close idle sessions while isolated, so that callers use other proxies.

        The load balancer gets time to notice first; otherwise callers would reconnect
        to this proxy.
        """
        if not self.is_isolated:
            self.since_s = None
            return
        now = boot_time_s()
        if self.since_s is None:
            self.since_s = now
            logger.warning("proxy_isolated")
        elif now - self.since_s > BALANCER_REMOVAL_S:
            count = self.listener.close_idle_sessions()
            logger.bind(sessions=count).info("idle_callers_shed")
            self.since_s = now
