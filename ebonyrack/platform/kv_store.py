"""Client of the platform's key-value store."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Coroutine
from typing import Any
from urllib.parse import urlencode

from result import Err
from result import Ok
from result import Result

from ebonyrack.core import metrics
from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.core.decoding import DECODING_ERRORS
from ebonyrack.core.decoding import read_integer
from ebonyrack.core.socket_options import KEEPALIVE_OPTIONS
from ebonyrack.core.tasks import end_tasks
from ebonyrack.platform.kv_bodies import build_bad_response_error
from ebonyrack.platform.kv_bodies import decode_changes
from ebonyrack.platform.kv_bodies import decode_item
from ebonyrack.platform.kv_bodies import decode_items
from ebonyrack.platform.kv_bodies import read_body
from ebonyrack.platform.kv_bodies import read_key
from ebonyrack.platform.store_era import StoreEra
from ebonyrack.store.http_client import HttpClient
from ebonyrack.store.http_client import HttpRequest
from ebonyrack.store.http_client import HttpResponse
from ebonyrack.store.leasing_store import StoreChanges
from ebonyrack.store.leasing_store import StoreItem
from ebonyrack.store.leasing_store import StoreWrite
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.store_response import StoreErrorKind

# The store replies in milliseconds; this allows for one lost packet and some delay.
CALL_TIMEOUT_S = 0.8
# The same after the wait of a watch; a lost response may hide a change until then.
WATCH_REPLY_TIMEOUT_S = 0.5
MS_PER_S = 1000
JSON_HEADERS = (("Content-Type", "application/json"),)
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_HISTORY_LOST = 410
STATUS_CONDITION_FAILED = 412


class KvStore(Component):
    """Client of the store: an async context manager.

    Attributes:
        client: HTTP connections to the store.
        era: The store's era, after which revisions and leases are numbered.
        timeout_s: Timeout of a call that does not wait for a change, in seconds.
    """

    __slots__ = ("client", "era", "timeout_s")

    def __init__(self, address: Address, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.client = HttpClient(address, KEEPALIVE_OPTIONS)
        self.era = StoreEra()
        self.timeout_s = timeout_s

    @property
    def generation(self) -> int:
        """Number that grows each time the store was restored from a copy."""
        return self.era.number

    @property
    def generation_seen_s(self) -> float:
        """Time at which this process first saw the generation, on the boot clock."""
        return self.era.seen_at_s

    async def start(self) -> None:
        """Start the HTTP client, which connects on demand."""
        await self.client.start()

    async def stop(self) -> None:
        """Close the connections."""
        await self.client.stop()

    async def read_prefix(
        self, prefix: str, allow_stale: bool = False
    ) -> Result[StoreChanges, StoreError]:
        """Read all keys with a prefix.

        The pages are no snapshot, so a watch must continue from the revision of the
        first page.

        Args:
            prefix: Start of the keys.
            allow_stale: Whether the items may be some seconds old.

        Returns:
            The items, or why they could not be read.
        """
        items: list[StoreItem] = []
        revision = 0
        after = ""
        era: int | None = None
        while True:
            query = {"prefix": prefix}
            if allow_stale:
                # The platform calls reads that may be seconds old "serializable".
                query["serializable"] = "1"
            if after:
                query["after"] = after
            response = await self.get("range", "/kv-range", query)
            body = response.and_then(lambda reply: read_body(reply, (STATUS_OK,)))
            if isinstance(body, Err):
                return body
            if era not in (None, self.era.number):
                # The earlier pages are of a store that has been replaced by a copy.
                return await self.read_prefix(prefix, allow_stale)
            era = self.era.number
            try:
                found = body.ok_value["items"]
                page = decode_items(found, self.era)
                revision = revision or self.era.extend_revision(
                    read_integer(body.ok_value["currentRev"])
                )
                is_truncated = bool(body.ok_value["truncated"]) and bool(found)
                next_after = read_key(found[-1]) if is_truncated else ""
            except DECODING_ERRORS as error:
                return Err(build_bad_response_error(error))
            items += page
            if not is_truncated:
                return Ok(StoreChanges(tuple(items), (), revision, is_complete=True))
            if next_after == after:
                return Err(build_bad_response_error("the same page again"))
            after = next_after

    async def watch_prefix(
        self, prefix: str, revision: int, wait_s: float
    ) -> Result[StoreChanges | None, StoreError]:
        """Wait for changes of keys with a prefix.

        Args:
            prefix: Start of the keys.
            revision: Revision after which changes are returned.
            wait_s: Seconds after which the store replies even without a change.

        Returns:
            The changes, None if their history is lost, or why they could not be read.
        """
        after = self.era.strip_revision(revision)
        if after is None:
            return Ok(None)
        query = {
            "prefix": prefix,
            "after": str(after),
            "waitMs": str(round(wait_s * MS_PER_S)),
        }
        response = await self.wait_in_era(self.get("watch", "/kv-watch", query, wait_s))
        if self.era.strip_revision(revision) is None:
            return Ok(None)
        if isinstance(response, Ok) and response.ok_value.status == STATUS_HISTORY_LOST:
            return Ok(None)
        body = response.and_then(lambda reply: read_body(reply, (STATUS_OK,)))
        return body.and_then(lambda events: decode_changes(events, self.era))

    async def wait_in_era(
        self, call: Coroutine[Any, Any, Result[HttpResponse, StoreError]]
    ) -> Result[HttpResponse, StoreError]:
        """Wait for a response, but not beyond the era in which the call was made.

        A restored store may leave a watch of its former self without any response.
        """
        calling = asyncio.create_task(call)
        changing = asyncio.get_running_loop().create_future()
        self.era.changed.waiters.add(changing)
        try:
            await asyncio.wait([calling, changing], return_when=asyncio.FIRST_COMPLETED)
            if calling.done():
                return calling.result()
            return Err(StoreError(StoreErrorKind.UNKNOWN, "the store was restored"))
        finally:
            self.era.changed.waiters.discard(changing)
            await end_tasks([calling])

    async def write(self, write: StoreWrite) -> Result[int | None, StoreError]:
        """Write a key if it is still at a revision.

        Args:
            write: The key, its value and the revision that it must have.

        Returns:
            The revision of the change, None if the condition did not hold, or why
            the outcome is unknown; the change may then still be made later.
        """
        expected = self.era.strip_revision(write.expected_revision)
        lease = self.era.strip_lease(write.lease)
        if expected is None or lease is None:
            return Ok(None)
        value = base64.b64encode(write.value).decode()
        return await self.transact(
            {
                "expected": [{"key": write.key, "revision": expected}],
                "writes": [{"key": write.key, "value": value, "lease": lease}],
                "deletes": [],
            }
        )

    async def delete(self, key: str, revision: int) -> Result[bool, StoreError]:
        """Delete a key if it is still at a revision.

        Args:
            key: The key.
            revision: Revision that it must have.

        Returns:
            Whether it was deleted, or why the outcome is unknown.
        """
        number = self.era.strip_revision(revision)
        if number is None:
            return Ok(False)
        expected = [{"key": key, "revision": number}]
        body = {"expected": expected, "writes": [], "deletes": [key]}
        return (await self.transact(body)).map(lambda result: result is not None)

    async def transact(self, body: dict[str, Any]) -> Result[int | None, StoreError]:
        """Make a conditional change; return its revision, None if a condition fails."""
        era = self.era.number
        response = await self.post("txn", "/kv-txn", body)
        if era not in (0, self.era.number):
            reason = "the store was restored during the call"
            return Err(StoreError(StoreErrorKind.UNKNOWN, reason))
        # 404 means that the lease has ended, so that nothing was written.
        statuses = (STATUS_OK, STATUS_CONDITION_FAILED, STATUS_NOT_FOUND)
        result = response.and_then(lambda reply: read_body(reply, statuses))
        if isinstance(result, Err):
            return result
        if response.unwrap().status != STATUS_OK:
            return Ok(None)
        try:
            return Ok(
                self.era.extend_revision(read_integer(result.ok_value["revision"]))
            )
        except DECODING_ERRORS as error:
            return Err(build_bad_response_error(error))

    async def read_key(self, key: str) -> Result[StoreItem | None, StoreError]:
        """Read one key.

        Args:
            key: The key.

        Returns:
            The item, None if there is none, or why it could not be read.
        """
        response = await self.get("key", "/kv-key", {"key": key})
        if isinstance(response, Ok) and response.ok_value.status == STATUS_NOT_FOUND:
            return Ok(None)
        body = response.and_then(lambda reply: read_body(reply, (STATUS_OK,)))
        if isinstance(body, Err):
            return body
        try:
            return Ok(decode_item(body.ok_value, self.era))
        except DECODING_ERRORS as error:
            return Err(build_bad_response_error(error))

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Create a lease.

        Args:
            ttl_s: Seconds after which it expires without a renewal.

        Returns:
            Its id, or why there is none.
        """
        body = {"ttlMs": round(ttl_s * MS_PER_S)}
        response = await self.post("lease", "/kv-lease", body)
        result = response.and_then(lambda reply: read_body(reply, (STATUS_OK,)))
        if isinstance(result, Err):
            return result
        try:
            return Ok(
                self.era.extend_lease(
                    read_integer(result.ok_value["lease"], highest=2**64 - 1)
                )
            )
        except DECODING_ERRORS as error:
            return Err(build_bad_response_error(error))

    async def renew_lease(self, lease: int) -> Result[bool, StoreError]:
        """Renew a lease.

        Args:
            lease: Its id.

        Returns:
            Whether it still existed, or why the outcome is unknown.
        """
        number = self.era.strip_lease(lease)
        if number is None:
            return Ok(False)
        response = await self.post("renew", f"/kv-keep/{number}", {})
        if self.era.strip_lease(lease) is None:
            # Another lease may have got the same number.
            return Ok(False)
        result = response.and_then(
            lambda reply: read_body(reply, (STATUS_OK, STATUS_NOT_FOUND))
        )
        return result.map(lambda body: response.unwrap().status == STATUS_OK)

    async def get(
        self, kind: str, path: str, query: dict[str, str], wait_s: float = 0.0
    ) -> Result[HttpResponse, StoreError]:
        """Make a GET call and count it."""
        metrics.store_calls.add(1, {"kind": kind})
        target = f"{path}?{urlencode(query)}"
        timeout_s = WATCH_REPLY_TIMEOUT_S if wait_s else self.timeout_s
        request = HttpRequest("GET", target, timeout_s=timeout_s, wait_s=wait_s)
        return (await self.client.send(request)).and_then(self.era.accept)

    async def post(
        self, kind: str, path: str, body: dict[str, Any]
    ) -> Result[HttpResponse, StoreError]:
        """Make a POST call with a JSON body and count it."""
        metrics.store_calls.add(1, {"kind": kind})
        data = json.dumps(body).encode()
        request = HttpRequest(
            "POST", path, data, JSON_HEADERS, timeout_s=self.timeout_s
        )
        return (await self.client.send(request)).and_then(self.era.accept)
