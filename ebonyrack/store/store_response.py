"""Result of a call to the store: a response, a value or an error."""

from __future__ import annotations

import base64
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any

from msgspec import Struct
from result import Err
from result import Ok
from result import Result

from ebonyrack.core.decoding import DECODING_ERRORS
from ebonyrack.core.decoding import parse_integer
from ebonyrack.core.decoding import parse_json
from ebonyrack.core.decoding import read_integer

if TYPE_CHECKING:
    from ebonyrack.store.http_client import HttpResponse


class StoreErrorKind(StrEnum):
    """What is known about the effect of a failed call."""

    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    REFUSED = "refused"


class StoreError(Struct, frozen=True):
    """Error of a failed call.

    Attributes:
        kind: `UNREACHABLE` if the call was certainly not sent, `UNKNOWN` if it may
            have taken effect, `REFUSED` if the store reported that it did not.
        reason: Description of the failure.
    """

    kind: StoreErrorKind
    reason: str


class StoreValue(Struct, frozen=True):
    """A value and its index, which a compare-and-swap expects."""

    value: bytes
    index: int


class StoreResponse(Struct, frozen=True):
    """Response of the store to one HTTP call."""

    status: int
    index: int
    body: bytes


def read_index(response: HttpResponse) -> int:
    """Return the index at which a watch continues, or 0 if there is none."""
    for name, value in response.headers:
        if name.lower() == b"x-consul-index":
            return parse_integer(value) or 0
    return 0


def read_value(response: StoreResponse) -> Result[StoreValue | None, StoreError]:
    """Read the value from a response; None if the key does not exist."""
    if response.status == 404:
        return Ok(None)
    try:
        entry: Any = parse_json(response.body)[0]
        value = base64.b64decode(entry["Value"] or "", validate=True)
        return Ok(StoreValue(value, read_integer(entry["ModifyIndex"])))
    except DECODING_ERRORS as error:
        return Err(StoreError(StoreErrorKind.UNKNOWN, f"malformed response: {error!r}"))


def read_success(response: StoreResponse) -> Result[bool, StoreError]:
    """Read whether a compare-and-swap succeeded."""
    text = response.body.strip()
    if text in (b"true", b"false"):
        return Ok(text == b"true")
    return Err(StoreError(StoreErrorKind.UNKNOWN, f"malformed response: {text[:80]!r}"))
