"""The platform's key-value store, by Consul's HTTP interface."""

from __future__ import annotations

import asyncio
import base64
import binascii
import json
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import Any
from urllib.parse import quote

import httpcore
from result import Err
from result import Ok
from result import Result

from ebonyrack.core import metrics
from ebonyrack.core.clock import now_s
from ebonyrack.core.owner import Owner
from ebonyrack.core.settings import StoreSettings

MAXIMUM_VALUE_BYTES = 1_000_000
MAXIMUM_CONNECTIONS = 4
KEEPALIVE_S = 30.0
BURST_S = 2.0


class StoreErrorKind(StrEnum):
    """What is known of a call that brought no answer."""

    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class StoreError:
    """A call that failed.

    Attributes:
        kind: `UNREACHABLE` if it was surely not sent, `UNKNOWN` if it may have
            taken effect, `REFUSED` if the store answered that it did not.
        reason: What happened.
    """

    kind: StoreErrorKind
    reason: str


@dataclass(frozen=True, slots=True)
class StoreValue:
    """A value with the index that a compare-and-swap names."""

    value: bytes
    index: int


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Answer of the store to one HTTP call."""

    status: int
    index: int
    body: bytes


class RateLimit:
    """A bucket of calls that refills with time.

    Attributes:
        rate: Calls that come free each second.
        burst: Calls that may be made at once.
        level: Calls that are free now; below 0 some wait for theirs.
        filled_at_s: Time to which the level was brought up.
    """

    __slots__ = ("rate", "burst", "level", "filled_at_s")

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.burst = max(1.0, rate * BURST_S)
        self.level = self.burst
        self.filled_at_s = now_s()

    def reserve(self, limit_s: float) -> float | None:
        """Take one call.

        Args:
            limit_s: Longest wait that is worth while, in seconds.

        Returns:
            Seconds to wait before the call is made, or None if it is too long.
        """
        elapsed_s = now_s() - self.filled_at_s
        self.filled_at_s += elapsed_s
        self.level = min(self.burst, self.level + elapsed_s * self.rate)
        wait_s = max(0.0, (1 - self.level) / self.rate)
        if wait_s > limit_s:
            return None
        self.level -= 1
        return wait_s


class Store(Owner):
    """Client of the store: an async context manager.

    Keys are relative to the prefix of the settings. Each call has a time-out, is
    counted by its kind, and waits for the bounded rate of this process.

    Attributes:
        settings: Address, prefix, time-outs and rate.
        calls: Number of calls made, by kind.
        heard_at_s: Time of the last answer of the store, or None.
        pool: HTTP connections; set while open.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self.settings = settings
        self.calls: Counter[str] = Counter()
        self.heard_at_s: float | None = None
        self.rate_limit = RateLimit(settings.maximum_calls_per_s)
        self.pool: httpcore.AsyncConnectionPool | None = None

    async def start(self) -> None:
        """Prepare for HTTP connections; each is made when it is needed."""
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=MAXIMUM_CONNECTIONS, keepalive_expiry=KEEPALIVE_S
        )

    async def stop(self) -> None:
        """Close the connections."""
        if self.pool is not None:
            await self.pool.aclose()
            self.pool = None

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
        parameters = {"index": str(index), "wait": f"{max(1, round(wait_s))}s"}
        answer = await self.call(
            "watch", "GET", self.build_path(key), parameters, wait_s=wait_s
        )
        return answer.and_then(read_value)

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
    ) -> Result[StoreAnswer, StoreError]:
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
    ) -> Result[StoreAnswer, StoreError]:
        """Send a request and sort what may come back."""
        if self.pool is None:
            return Err(StoreError(StoreErrorKind.UNREACHABLE, "the store isn't open"))
        timeout_s = self.settings.timeout_s
        limits = dict.fromkeys(("connect", "write", "pool"), timeout_s)
        limits["read"] = timeout_s + wait_s
        try:
            async with asyncio.timeout(2 * timeout_s + wait_s):
                response = await self.pool.request(
                    method,
                    f"http://{self.settings.address}{target}",
                    content=body,
                    extensions={"timeout": limits},
                )
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ) as error:
            return Err(StoreError(StoreErrorKind.UNREACHABLE, repr(error)))
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return Err(StoreError(StoreErrorKind.UNKNOWN, repr(error)))
        except (httpcore.TimeoutException, TimeoutError) as error:
            return Err(StoreError(StoreErrorKind.UNKNOWN, repr(error)))
        return self.sort_response(response)

    def sort_response(
        self, response: httpcore.Response
    ) -> Result[StoreAnswer, StoreError]:
        """Tell a usable answer from a refusal."""
        status = response.status
        if status >= 500:
            reason = f"the store answered {status}"
            return Err(StoreError(StoreErrorKind.UNKNOWN, reason))
        if status >= 400 and status != 404:
            reason = f"the store answered {status}"
            return Err(StoreError(StoreErrorKind.REFUSED, reason))
        self.heard_at_s = now_s()
        return Ok(StoreAnswer(status, read_index(response), response.content))

    def build_path(self, key: str) -> str:
        """Return the path of a key below the prefix."""
        return f"/v1/kv/{quote(self.settings.prefix)}/{quote(key)}"


def read_index(response: httpcore.Response) -> int:
    """Return the index that a watch goes on from, 0 if there is none."""
    for name, value in response.headers:
        if name.lower() == b"x-consul-index" and value.isdigit():
            return int(value)
    return 0


def read_value(answer: StoreAnswer) -> Result[StoreValue | None, StoreError]:
    """Read the value out of an answer."""
    if answer.status == 404:
        return Ok(None)
    try:
        entry: Any = json.loads(answer.body)[0]
        value = base64.b64decode(entry["Value"] or "", validate=True)
        return Ok(StoreValue(value, int(entry["ModifyIndex"])))
    except (ValueError, LookupError, TypeError, binascii.Error) as error:
        return Err(StoreError(StoreErrorKind.UNKNOWN, f"bad answer: {error!r}"))


def read_success(answer: StoreAnswer) -> Result[bool, StoreError]:
    """Read whether a swap was made."""
    text = answer.body.strip()
    if text in (b"true", b"false"):
        return Ok(text == b"true")
    return Err(StoreError(StoreErrorKind.UNKNOWN, f"bad answer: {text[:80]!r}"))
