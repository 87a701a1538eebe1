"""The platform's key-value store."""

from __future__ import annotations

import base64
import binascii
import json
from typing import Any
from urllib.parse import urlencode

from result import Err
from result import Ok
from result import Result

from ebonyrack.core import metrics
from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.store.http_client import KEEPALIVE_OPTIONS
from ebonyrack.store.http_client import HttpClient
from ebonyrack.store.http_client import HttpRequest
from ebonyrack.store.http_client import HttpResponse
from ebonyrack.store.leasing_store import StoreChanges
from ebonyrack.store.leasing_store import StoreItem
from ebonyrack.store.leasing_store import StoreWrite
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.store_response import StoreErrorKind

# The store answers in milliseconds; this covers one lost packet and a slow spell.
CALL_TIMEOUT_S = 0.8
MS_PER_S = 1000
JSON_HEADERS = (("Content-Type", "application/json"),)
OK = 200
NOT_FOUND = 404
HISTORY_GONE = 410
CONDITION_FAILED = 412


class KvStore(Component):
    """Client of the store: an async context manager.

    Attributes:
        client: HTTP connections to the store.
        timeout_s: Seconds for the answer to a call that doesn't wait.
    """

    __slots__ = ("client", "timeout_s")

    def __init__(self, address: Address, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.client = HttpClient(address, KEEPALIVE_OPTIONS)
        self.timeout_s = timeout_s

    async def start(self) -> None:
        """Prepare for HTTP connections; each is made when it is needed."""
        await self.client.start()

    async def stop(self) -> None:
        """Close the connections."""
        await self.client.stop()

    async def read_prefix(
        self, prefix: str, allow_stale: bool = False
    ) -> Result[StoreChanges, StoreError]:
        """Read all keys with a prefix.

        The pages are not a snapshot, so a watch goes on from the first of them.

        Args:
            prefix: Start of the keys.
            allow_stale: Whether what the store held some seconds ago will do.

        Returns:
            The items, or why they aren't known.
        """
        items: list[StoreItem] = []
        revision = 0
        after = ""
        while True:
            query = {"prefix": prefix}
            if allow_stale:
                # The platform calls reads that may be seconds old "serializable".
                query["serializable"] = "1"
            if after:
                query["after"] = after
            answer = await self.get("range", "/kv-range", query)
            body = answer.and_then(lambda found: read_body(found, (OK,)))
            if isinstance(body, Err):
                return body
            try:
                page = [decode_item(item) for item in body.ok_value["items"]]
                revision = revision or int(body.ok_value["currentRev"])
                is_truncated = bool(body.ok_value["truncated"])
            except (ValueError, LookupError, TypeError) as error:
                return Err(bad_answer(error))
            items += page
            if not is_truncated or not page:
                return Ok(StoreChanges(tuple(items), (), revision, is_complete=True))
            after = page[-1].key

    async def watch_prefix(
        self, prefix: str, revision: int, wait_s: float
    ) -> Result[StoreChanges | None, StoreError]:
        """Wait for changes.

        Args:
            prefix: Start of the keys.
            revision: Revision after which changes count.
            wait_s: Seconds after which the store answers in any case.

        Returns:
            The changes, None if their history is lost, or why they aren't known.
        """
        query = {
            "prefix": prefix,
            "after": str(revision),
            "waitMs": str(round(wait_s * MS_PER_S)),
        }
        answer = await self.get("watch", "/kv-watch", query, wait_s)
        if isinstance(answer, Ok) and answer.ok_value.status == HISTORY_GONE:
            return Ok(None)
        body = answer.and_then(lambda found: read_body(found, (OK,)))
        return body.and_then(decode_changes)

    async def write(self, write: StoreWrite) -> Result[int | None, StoreError]:
        """Write a key on a condition.

        Args:
            write: The key, its value and the revision that it must have.

        Returns:
            The revision of the change, None if the condition did not hold, or why
            that isn't known; the change may then be made even later.
        """
        value = base64.b64encode(write.value).decode()
        return await self.transact(
            {
                "expected": [{"key": write.key, "revision": write.expected_revision}],
                "writes": [{"key": write.key, "value": value, "lease": write.lease}],
                "deletes": [],
            }
        )

    async def delete(self, key: str, revision: int) -> Result[bool, StoreError]:
        """Delete a key if it is still at a revision.

        Args:
            key: The key.
            revision: Revision that it must have.

        Returns:
            Whether it was deleted, or why that isn't known.
        """
        expected = [{"key": key, "revision": revision}]
        body = {"expected": expected, "writes": [], "deletes": [key]}
        return (await self.transact(body)).map(lambda found: found is not None)

    async def transact(self, body: dict[str, Any]) -> Result[int | None, StoreError]:
        """Make a change on conditions; return its revision, None if they failed."""
        answer = await self.post("txn", "/kv-txn", body)
        # 404 says that the lease named has ended, so that nothing was written.
        statuses = (OK, CONDITION_FAILED, NOT_FOUND)
        found = answer.and_then(lambda reply: read_body(reply, statuses))
        if isinstance(found, Err):
            return found
        if answer.unwrap().status != OK:
            return Ok(None)
        try:
            return Ok(int(found.ok_value["revision"]))
        except (ValueError, LookupError, TypeError) as error:
            return Err(bad_answer(error))

    async def read_key(self, key: str) -> Result[StoreItem | None, StoreError]:
        """Read one key.

        Args:
            key: The key.

        Returns:
            The item, None if there is none, or why it isn't known.
        """
        answer = await self.get("key", "/kv-key", {"key": key})
        if isinstance(answer, Ok) and answer.ok_value.status == NOT_FOUND:
            return Ok(None)
        body = answer.and_then(lambda found: read_body(found, (OK,)))
        if isinstance(body, Err):
            return body
        try:
            return Ok(decode_item(body.ok_value))
        except (ValueError, LookupError, TypeError) as error:
            return Err(bad_answer(error))

    async def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Start a lease.

        Args:
            ttl_s: Seconds after which it ends without a renewal.

        Returns:
            Its number, or why there is none.
        """
        body = {"ttlMs": round(ttl_s * MS_PER_S)}
        answer = await self.post("lease", "/kv-lease", body)
        found = answer.and_then(lambda reply: read_body(reply, (OK,)))
        if isinstance(found, Err):
            return found
        try:
            return Ok(int(found.ok_value["lease"]))
        except (ValueError, LookupError, TypeError) as error:
            return Err(bad_answer(error))

    async def renew_lease(self, lease: int) -> Result[bool, StoreError]:
        """Renew a lease.

        Args:
            lease: Its number.

        Returns:
            Whether it was still there, or why that isn't known.
        """
        answer = await self.post("renew", f"/kv-keep/{lease}", {})
        found = answer.and_then(lambda reply: read_body(reply, (OK, NOT_FOUND)))
        return found.map(lambda body: answer.unwrap().status == OK)

    async def get(
        self, kind: str, path: str, query: dict[str, str], wait_s: float = 0.0
    ) -> Result[HttpResponse, StoreError]:
        """Make a reading call."""
        metrics.store_calls.add(1, {"kind": kind})
        target = f"{path}?{urlencode(query)}"
        call = HttpRequest("GET", target, timeout_s=self.timeout_s, wait_s=wait_s)
        return await self.client.send(call)

    async def post(
        self, kind: str, path: str, body: dict[str, Any]
    ) -> Result[HttpResponse, StoreError]:
        """Make a call with a body."""
        metrics.store_calls.add(1, {"kind": kind})
        data = json.dumps(body).encode()
        call = HttpRequest("POST", path, data, JSON_HEADERS, timeout_s=self.timeout_s)
        return await self.client.send(call)


def read_body(
    answer: HttpResponse, statuses: tuple[int, ...]
) -> Result[dict[str, Any], StoreError]:
    """Decode the body of an answer with one of some statuses.

    Args:
        answer: The answer.
        statuses: Statuses that tell what became of the call.

    Returns:
        The decoded body, empty for an answer without one, or why it is none.
    """
    if answer.status not in statuses:
        # 503, 429 and other refusals say that nothing was done.
        reason = f"the store answered {answer.status}"
        return Err(StoreError(StoreErrorKind.REFUSED, reason))
    try:
        body = json.loads(answer.body) if answer.body else {}
    except ValueError as error:
        return Err(bad_answer(error))
    if not isinstance(body, dict):
        return Err(bad_answer(f"a {type(body).__name__} came"))
    return Ok(body)


def decode_item(item: dict[str, Any]) -> StoreItem:
    """Decode one item.

    Raises:
        ValueError, LookupError, TypeError: If it has another form.
    """
    try:
        value = base64.b64decode(item["value"], validate=True)
    except binascii.Error as error:
        raise ValueError(f"bad value: {error}") from error
    return StoreItem(
        str(item["key"]), value, int(item["revision"]), int(item["createdRev"])
    )


def decode_changes(body: dict[str, Any]) -> Result[StoreChanges | None, StoreError]:
    """Decode what a watch brought."""
    items: list[StoreItem] = []
    deleted: list[str] = []
    try:
        # Later events of a key replace earlier ones.
        for event in body["events"]:
            key = str(event["key"])
            items = [item for item in items if item.key != key]
            deleted = [other for other in deleted if other != key]
            if event.get("tombstone"):
                deleted.append(key)
            else:
                items.append(decode_item(event))
        revision = int(body["currentRev"])
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        return Err(bad_answer(error))
    return Ok(StoreChanges(tuple(items), tuple(deleted), revision))


def bad_answer(error: object) -> StoreError:
    """Build the error for an answer that can't be understood."""
    return StoreError(StoreErrorKind.UNKNOWN, f"bad answer: {error!r}")
