"""What a call to the store brings: an answer, a value or an error."""

from __future__ import annotations

import base64
import binascii
import json
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any

from result import Err
from result import Ok
from result import Result

if TYPE_CHECKING:
    from ebonyrack.store.http_client import HttpResponse


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
class StoreResponse:
    """Answer of the store to one HTTP call."""

    status: int
    index: int
    body: bytes


def read_index(answer: HttpResponse) -> int:
    """Return the index that a watch goes on from, 0 if there is none."""
    for name, value in answer.headers:
        if name.lower() == b"x-consul-index" and value.isdigit():
            return int(value)
    return 0


def read_value(answer: StoreResponse) -> Result[StoreValue | None, StoreError]:
    """Read the value out of an answer."""
    if answer.status == 404:
        return Ok(None)
    try:
        entry: Any = json.loads(answer.body)[0]
        value = base64.b64decode(entry["Value"] or "", validate=True)
        return Ok(StoreValue(value, int(entry["ModifyIndex"])))
    except (ValueError, LookupError, TypeError, binascii.Error) as error:
        return Err(StoreError(StoreErrorKind.UNKNOWN, f"bad answer: {error!r}"))


def read_success(answer: StoreResponse) -> Result[bool, StoreError]:
    """Read whether a swap was made."""
    text = answer.body.strip()
    if text in (b"true", b"false"):
        return Ok(text == b"true")
    return Err(StoreError(StoreErrorKind.UNKNOWN, f"bad answer: {text[:80]!r}"))
