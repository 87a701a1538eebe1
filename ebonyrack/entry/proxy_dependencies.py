"""What a platform's adapter injects into the route proxy."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct
from result import Result

from ebonyrack.members.directory import DecodeEntry
from ebonyrack.promotion.order import PromotionOrderClient
from ebonyrack.requests.codec import CallerCodec
from ebonyrack.requests.codec import UpstreamCodec
from ebonyrack.routes.route import RouteTable
from ebonyrack.store.leasing_store import LeasingStore


class RouteDecoder(Protocol):
    """Decodes routes from their stored form."""

    def __call__(self, value: bytes, /) -> Result[RouteTable, str]:
        """Decode the routes, or return why they are invalid."""


class ProxyDependencies(Struct, frozen=True):
    """Platform services and protocols that an adapter injects into the proxy.

    Attributes:
        store: The platform's key-value store.
        orders: Accepts orders to change a primary.
        caller_codec: Protocol spoken with callers.
        upstream_codec: Protocol spoken with upstreams.
        document_key: Key of the operators' routes in the store.
        decode_document: Decodes the operators' routes.
        entry_prefix: Prefix of the keys of upstreams' entries.
        decode_entry: Decodes the entry of one upstream.
    """

    store: LeasingStore
    orders: PromotionOrderClient
    caller_codec: CallerCodec
    upstream_codec: UpstreamCodec
    document_key: str
    decode_document: RouteDecoder
    entry_prefix: str
    decode_entry: DecodeEntry
