"""Settings of a proxy process that serves routes."""

from __future__ import annotations

from msgspec import Struct

from ebonyrack.core.address import Address


class RouteProxySettings(Struct, frozen=True):
    """Identity, listeners and remote addresses of a process.

    Attributes:
        name: Name of the process, unique among all.
        data_centre: Data centre of its VM.
        caller_address: Where callers connect.
        ready_address: Where the load balancer checks whether the process is ready.
        store_address: Address of the platform's store.
        order_address: Where promotions are ordered.
        grace_s: Time between the signal to stop and the end of the process, in seconds.
        is_promotion_fenced: Whether the platform ends the lead of the old primary and
            refuses outdated orders when it promotes another upstream.
        peer_address: Where other proxies connect; None without links between them.
        processor_share: Processing power of the VM in cores.
        limit_window_s: Length in seconds of the windows in which the platform checks
            the limits of client accounts; None if it has none.
        limit_overshoot: Part of a limit by which a window may be above it.
        limit_slack: Operations by which a window may be above that.
        leaving_limit_s: Seconds for which an upstream that has reported that it is
            leaving may get work; None for no limit.
        apply_limit_s: Seconds within which a change of the configuration must be in
            force.
    """

    name: str
    data_centre: str
    caller_address: Address
    ready_address: Address
    store_address: Address
    order_address: Address
    grace_s: float
    is_promotion_fenced: bool = False
    peer_address: Address | None = None
    processor_share: float = 1.0
    limit_window_s: float | None = None
    limit_overshoot: float = 0.0
    limit_slack: float = 0.0
    leaving_limit_s: float | None = None
    apply_limit_s: float = 3.0
