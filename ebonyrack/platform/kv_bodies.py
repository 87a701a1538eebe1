"""Decodes the bodies of the platform's store."""

from __future__ import annotations

import base64
import binascii
from typing import Any

from loguru import logger
from result import Err
from result import Ok
from result import Result

from ebonyrack.core.decoding import DECODING_ERRORS
from ebonyrack.core.decoding import parse_json
from ebonyrack.core.decoding import read_integer
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
        body = parse_json(response.body) if response.body else {}
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
        read_key(item),
        value,
        era.extend_revision(read_integer(item["revision"])),
        era.extend_revision(read_integer(item["createdRev"])),
    )


def read_key(item: dict[str, Any]) -> str:
    """Return the key of an item or event.

    Raises:
        ValueError, LookupError, TypeError: If it has none.
    """
    key = item["key"]
    if not isinstance(key, str):
        raise TypeError("a key must be a string")
    return key


def decode_items(items: list[dict[str, Any]], era: StoreEra) -> list[StoreItem]:
    """Decode the items of a reading; malformed ones don't hide the others.

    Raises:
        TypeError, LookupError: If it is no list, or an item has no key.
    """
    if not isinstance(items, list):
        raise TypeError("items must be a list")
    return [decode_known_item(item, era) for item in items]


def decode_known_item(item: dict[str, Any], era: StoreEra) -> StoreItem:
    """Decode an item; a malformed one is there, but without a value.

    Its reader logs it as a value that can't be used.

    Raises:
        TypeError, LookupError: If it has no key.
    """
    key = read_key(item)
    try:
        return decode_item(item, era)
    except DECODING_ERRORS as error:
        logger.bind(key=f"{key:.80}", reason=f"{error!r:.200}").debug(
            "store_item_unreadable"
        )
        return StoreItem(key, b"", 0, 0)


def decode_changes(
    body: dict[str, Any], era: StoreEra
) -> Result[StoreChanges | None, StoreError]:
    """Decode the result of a watch."""
    items: list[StoreItem] = []
    deleted: list[str] = []
    try:
        # The last event of a key replaces its earlier ones.
        for event in body["events"]:
            key = read_key(event)
            items = [item for item in items if item.key != key]
            deleted = [other for other in deleted if other != key]
            if event.get("tombstone"):
                deleted.append(key)
            else:
                items.append(decode_known_item(event, era))
        revision = era.extend_revision(read_integer(body["currentRev"]))
    except DECODING_ERRORS as error:
        return Err(build_bad_response_error(error))
    return Ok(StoreChanges(tuple(items), tuple(deleted), revision))


def build_bad_response_error(error: object) -> StoreError:
    """Build the error for a response that can't be decoded."""
    return StoreError(StoreErrorKind.UNKNOWN, f"invalid response: {error!r:.200}")
