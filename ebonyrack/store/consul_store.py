"""The platform's key-value store, by Consul's HTTP interface."""

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

    Keys are relative to the prefix of the settings. Each call has a time-out, is
    counted by its kind, and waits for the bounded rate of this process.

    Attributes:
        settings: Address, prefix, time-outs and rate.
        calls: Number of calls made, by kind.
        answered_at_s: Time of the last answer of the store, or None.
        client: HTTP connections to the store.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self.settings = settings
        self.calls: Counter[str] = Counter()
        self.answered_at_s: float | None = None
        self.rate_limit = RateLimit(settings.maximum_calls_per_s)
        self.client = HttpClient(settings.address)

    async def start(self) -> None:
        """Prepare for HTTP connections; each is made when it is needed."""
        await self.client.start()

    async def stop(self) -> None:
        """Close the connections."""
        await self.client.stop()

    async def get(self, key: str) -> Result[StoreValue | None, StoreError]:
        """Read a value; it may be older than the newest.

        Args:
            key: Key below the prefix.

        Returns:
            The value, None if there is none, or why it isn't known.
        """
        answer = await self.call("get", "GET", self.build_path(key), {})
        return answer.and_then(read_value)

    async def watch(
        self, key: str, index: int, wait_s: float
    ) -> Result[StoreValue | None, StoreError]:
        """Wait until a value's index differs from a known one.

        Args:
            key: Key below the prefix.
            index: Index that is known; 0 to be answered at once.
            wait_s: Seconds after which the store answers in any case.

        Returns:
            The value then, None if there is none, or why it isn't known.
        """
        answer = await self.watch_path("watch", self.build_path(key), index, wait_s)
        return answer.and_then(read_value)

    async def watch_path(
        self, kind: str, path: str, index: int, wait_s: float
    ) -> Result[StoreResponse, StoreError]:
        """Wait until the index of what a path names differs from a known one.

        Args:
            kind: Name under which the call is counted.
            path: Path, already quoted.
            index: Index that is known; 0 to be answered at once.
            wait_s: Seconds after which the store answers in any case.

        Returns:
            The answer, or why there is none.
        """
        parameters = {"index": str(index), "wait": f"{max(1, round(wait_s))}s"}
        return await self.call(kind, "GET", path, parameters, wait_s=wait_s)

    async def compare_and_swap(
        self, key: str, value: bytes, index: int
    ) -> Result[bool, StoreError]:
        """Write a value if its index is still the known one.

        Args:
            key: Key below the prefix.
            value: New value.
            index: Index that was read; 0 if there must be no value yet.

        Returns:
            Whether it was written, or why that isn't known. After `UNKNOWN` the
            change may take effect even later.
        """
        if len(value) > MAXIMUM_VALUE_BYTES:
            reason = f"the value has more than {MAXIMUM_VALUE_BYTES} bytes"
            return Err(StoreError(StoreErrorKind.REFUSED, reason))
        answer = await self.call(
            "swap", "PUT", self.build_path(key), {"cas": str(index)}, value
        )
        return answer.and_then(read_success)

    async def call(
        self,
        kind: str,
        method: str,
        path: str,
        parameters: dict[str, str],
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> Result[StoreResponse, StoreError]:
        """Make one HTTP call within the rate and the time-out.

        Args:
            kind: Name under which it is counted.
            method: HTTP method.
            path: Path, already quoted.
            parameters: Query parameters.
            body: Body of the request.
            wait_s: Seconds for which the store may hold the answer back.

        Returns:
            The answer of a call that the store accepted, or why there is none.
        """
        delay_s = self.rate_limit.reserve(self.settings.timeout_s)
        if delay_s is None:
            reason = "the bounded rate of calls is used up"
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
        """Send a request and sort what may come back."""
        call = HttpRequest(
            method, target, body, timeout_s=self.settings.timeout_s, wait_s=wait_s
        )
        answer = await self.client.send(call)
        return answer.and_then(self.sort_answer)

    def sort_answer(self, answer: HttpResponse) -> Result[StoreResponse, StoreError]:
        """Tell a usable answer from a refusal."""
        status = answer.status
        if status >= 400 and status != 404:
            kind = StoreErrorKind.UNKNOWN if status >= 500 else StoreErrorKind.REFUSED
            return Err(StoreError(kind, f"the store answered {status}"))
        self.answered_at_s = now_s()
        return Ok(StoreResponse(status, read_index(answer), answer.body))

    def build_path(self, key: str) -> str:
        """Return the path of a key below the prefix."""
        return f"/v1/kv/{quote(self.settings.prefix)}/{quote(key)}"
