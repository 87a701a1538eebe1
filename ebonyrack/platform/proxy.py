"""Assembles a route proxy from the platform's codecs and clients."""

from __future__ import annotations

from contextlib import AsyncExitStack

from ebonyrack.core.component import Component
from ebonyrack.core.route_settings import RouteProxySettings
from ebonyrack.entry.proxy_dependencies import ProxyDependencies
from ebonyrack.entry.route_proxy import RouteProxy
from ebonyrack.platform import caller_codec  # noqa: F401 (fills the registry)
from ebonyrack.platform import member_entries
from ebonyrack.platform import route_document
from ebonyrack.platform import upstream_codec  # noqa: F401 (fills the registry)
from ebonyrack.platform.kv_store import KvStore
from ebonyrack.platform.promotion_client import PromotionClient
from ebonyrack.platform.readiness_server import ReadinessServer
from ebonyrack.requests.codec import CALLER_CODECS
from ebonyrack.requests.codec import UPSTREAM_CODECS

# Registered name of the protocol used by the platform's callers and upstreams.
PROTOCOL = "lines"


class PlatformProxy(Component):
    """A proxy on the platform: an async context manager.

    Attributes:
        store: Client of the key-value store.
        orders: Client of the promotion endpoint.
        proxy: The proxy.
        readiness_server: Reports to the load balancer whether the proxy is ready.
    """

    __slots__ = ("store", "orders", "proxy", "readiness_server", "stack")

    def __init__(self, settings: RouteProxySettings) -> None:
        self.store = KvStore(settings.store_address)
        self.orders = PromotionClient(settings.order_address)
        dependencies = ProxyDependencies(
            store=self.store,
            orders=self.orders,
            caller_codec=CALLER_CODECS.get(PROTOCOL)(),
            upstream_codec=UPSTREAM_CODECS.get(PROTOCOL)(),
            document_key=route_document.KEY,
            decode_document=route_document.decode_document,
            entry_prefix=member_entries.PREFIX,
            decode_entry=member_entries.decode_entry,
        )
        self.proxy = RouteProxy(settings, dependencies)
        self.readiness_server = ReadinessServer(
            settings.ready_address, lambda: self.proxy.is_ready
        )
        self.stack = AsyncExitStack()

    async def start(self) -> None:
        """Start the clients, the proxy and the readiness server."""
        for component in (self.store, self.orders, self.proxy, self.readiness_server):
            await self.stack.enter_async_context(component)

    async def stop(self) -> None:
        """Stop all of them in reverse order."""
        await self.stack.aclose()
