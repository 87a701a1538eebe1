"""Client of the platform's key-value store over Consul's HTTP interface."""

from __future__ import annotations

import asyncio
from collections import Counter
from urllib.parse import quote

from result import Err
from result import Ok
from result import Result

from ebonyrack.core import metrics
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.settings import StoreSettings
from ebonyrack.store.http_client import HttpClient
from ebonyrack.store.http_client import HttpRequest
from ebonyrack.store.http_client import HttpResponse
from ebonyrack.store.rate_limit import RateLimit
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.store_response import StoreErrorKind
from ebonyrack.store.store_response import StoreResponse
from ebonyrack.store.store_response import StoreValue
from ebonyrack.store.store_response import read_index
from ebonyrack.store.store_response import read_success
from ebonyrack.store.store_response import read_value

MAXIMUM_VALUE_BYTES = 1_000_000


class ConsulStore(Component):
    """Client of the store: an async context manager.

    Keys are relative to the prefix in the settings. Each call has a timeout, is
    counted by kind and is subject to the process's rate limit.

    Attributes:
        settings: Address, prefix, timeout and rate limit.
        calls: Number of calls made, by kind.
        answered_at_s: Monotonic time of the store's last response, or None.
        rate_limit: Limits the rate of calls.
        client: HTTP client of the store.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self.settings = settings
        self.calls: Counter[str] = Counter()
        self.answered_at_s: float | None = None
        self.rate_limit = RateLimit(settings.maximum_calls_per_s)
        self.client = HttpClient(settings.address)

    async def start(self) -> None:
        """Open the HTTP client; connections are made on demand."""
        await self.client.start()

    async def stop(self) -> None:
        """Close the HTTP client."""
        await self.client.stop()

    async def get(self, key: str) -> Result[StoreValue | None, StoreError]:
        """Read a value, which may be stale.

        Args:
            key: Key relative to the prefix.

        Returns:
            The value, None if there is none, or the error.
        """
        response = await self.call("get", "GET", self.build_path(key), {})
        return response.and_then(read_value)

    async def watch(
        self, key: str, index: int, wait_s: float
    ) -> Result[StoreValue | None, StoreError]:
        """Wait until a value's index differs from the known one.

        Args:
            key: Key relative to the prefix.
            index: The known index; 0 to return at once.
            wait_s: Seconds after which the store responds in any case.

        Returns:
            The value, None if there is none, or the error.
        """
        response = await self.watch_path("watch", self.build_path(key), index, wait_s)
        return response.and_then(read_value)

    async def watch_path(
        self, kind: str, path: str, index: int, wait_s: float
    ) -> Result[StoreResponse, StoreError]:
        """Wait until the index of the resource at a path differs from the known one.

        Args:
            kind: Kind under which the call is counted.
            path: Path, already quoted.
            index: The known index; 0 to return at once.
            wait_s: Seconds after which the store responds in any case.

        Returns:
            The response, or the error.
        """
        parameters = {"index": str(index), "wait": f"{max(1, round(wait_s))}s"}
        return await self.call(kind, "GET", path, parameters, wait_s=wait_s)

    async def compare_and_swap(
        self, key: str, value: bytes, index: int
    ) -> Result[bool, StoreError]:
        """Write a value if its index is unchanged.

        Args:
            key: Key relative to the prefix.
            value: New value.
            index: Index that was read; 0 if there must be no value yet.

        Returns:
            Whether it was written, or the error. After `UNKNOWN` the write may still
            take effect later.
        """
        if len(value) > MAXIMUM_VALUE_BYTES:
            reason = f"the value has more than {MAXIMUM_VALUE_BYTES} bytes"
            return Err(StoreError(StoreErrorKind.REFUSED, reason))
        response = await self.call(
            "swap", "PUT", self.build_path(key), {"cas": str(index)}, value
        )
        return response.and_then(read_success)

    async def call(
        self,
        kind: str,
        method: str,
        path: str,
        parameters: dict[str, str],
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> Result[StoreResponse, StoreError]:
        """Make one HTTP call subject to the rate limit and the timeout.

        Args:
            kind: Kind under which the call is counted.
            method: HTTP method.
            path: Path, already quoted.
            parameters: Query parameters.
            body: Body of the request.
            wait_s: Seconds for which the store may hold the response back.

        Returns:
            The response if the store accepted the call, or the error.
        """
        delay_s = self.rate_limit.reserve(self.settings.timeout_s)
        if delay_s is None:
            reason = "the rate limit of store calls is exceeded"
            return Err(StoreError(StoreErrorKind.UNREACHABLE, reason))
        await asyncio.sleep(delay_s)
        self.calls[kind] += 1
        metrics.store_calls.add(1, {"kind": kind})
        query = "&".join(f"{name}={quote(value)}" for name, value in parameters.items())
        target = f"{path}?{query}" if query else path
        return await self.request(method, target, body, wait_s)

    async def request(
        self, method: str, target: str, body: bytes, wait_s: float
    ) -> Result[StoreResponse, StoreError]:
        """Send a request and classify the response."""
        call = HttpRequest(
            method, target, body, timeout_s=self.settings.timeout_s, wait_s=wait_s
        )
        response = await self.client.send(call)
        return response.and_then(self.classify_response)

    def classify_response(
        self, response: HttpResponse
    ) -> Result[StoreResponse, StoreError]:
        """Return the response, or an error for an error status other than 404."""
        status = response.status
        if status >= 400 and status != 404:
            kind = StoreErrorKind.UNKNOWN if status >= 500 else StoreErrorKind.REFUSED
            return Err(StoreError(kind, f"the store returned status {status}"))
        self.answered_at_s = now_s()
        return Ok(StoreResponse(status, read_index(response), response.body))

    def build_path(self, key: str) -> str:
        """Return the quoted path of a key."""
        return f"/v1/kv/{quote(self.settings.prefix)}/{quote(key)}"
