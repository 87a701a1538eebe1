"""Decodes the bodies of the platform's store."""

from __future__ import annotations

import base64
import binascii
import json
from typing import Any

from result import Err
from result import Ok
from result import Result

from ebonyrack.platform.store_era import StoreEra
from ebonyrack.store.http_client import HttpResponse
from ebonyrack.store.leasing_store import StoreChanges
from ebonyrack.store.leasing_store import StoreItem
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.store_response import StoreErrorKind


def read_body(
    response: HttpResponse, statuses: tuple[int, ...]
) -> Result[dict[str, Any], StoreError]:
    """Decode the JSON body of a response with an expected status.

    Args:
        response: The response.
        statuses: Statuses that state the outcome of the call.

    Returns:
        The decoded body, empty if the response has none, or an error.
    """
    if response.status not in statuses:
        # 503, 429 and other error statuses mean that nothing was done.
        reason = f"the store replied with status {response.status}"
        return Err(StoreError(StoreErrorKind.REFUSED, reason))
    try:
        body = json.loads(response.body) if response.body else {}
    except ValueError as error:
        return Err(build_bad_response_error(error))
    if not isinstance(body, dict):
        return Err(
            build_bad_response_error(f"a {type(body).__name__} instead of an object")
        )
    return Ok(body)


def decode_item(item: dict[str, Any], era: StoreEra) -> StoreItem:
    """Decode one item of an era.

    Raises:
        ValueError, LookupError, TypeError: If it is malformed.
    """
    try:
        value = base64.b64decode(item["value"], validate=True)
    except binascii.Error as error:
        raise ValueError(f"invalid value: {error}") from error
    return StoreItem(
        str(item["key"]),
        value,
        era.extend_revision(int(item["revision"])),
        era.extend_revision(int(item["createdRev"])),
    )


def decode_changes(
    body: dict[str, Any], era: StoreEra
) -> Result[StoreChanges | None, StoreError]:
    """Decode the result of a watch."""
    items: list[StoreItem] = []
    deleted: list[str] = []
    try:
        # The last event of a key replaces its earlier ones.
        for event in body["events"]:
            key = str(event["key"])
            items = [item for item in items if item.key != key]
            deleted = [other for other in deleted if other != key]
            if event.get("tombstone"):
                deleted.append(key)
            else:
                items.append(decode_item(event, era))
        revision = era.extend_revision(int(body["currentRev"]))
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        return Err(build_bad_response_error(error))
    return Ok(StoreChanges(tuple(items), tuple(deleted), revision))


def build_bad_response_error(error: object) -> StoreError:
    """Build the error for a response that can't be decoded."""
    return StoreError(StoreErrorKind.UNKNOWN, f"invalid response: {error!r}")
