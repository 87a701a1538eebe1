"""Decodes the entries that upstreams publish in the platform's store."""

from __future__ import annotations

import json
from typing import Any

from result import Err
from result import Ok
from result import Result

from ebonyrack.core.address import parse_address
from ebonyrack.members.entry import MemberEntry
from ebonyrack.store.leasing_store import StoreItem

PREFIX = "servers/"
IS_LEAVING_BY_PHASE = {"ready": False, "draining": True}
IS_PRIMARY_BY_ROLE = {"primary": True, "replica": False}


def decode_entry(item: StoreItem) -> Result[MemberEntry, str]:
    """Decode the entry of one upstream.

    Args:
        item: The item of the store.

    Returns:
        The entry, or why it can't be used.
    """
    try:
        body: Any = json.loads(item.value)
        # Upstreams of older versions don't publish their start time.
        started_at_ms = body.get("born", 0)
        slots = body["slots"]
        if type(started_at_ms) is not int or type(slots) is not int:
            return Err("born and slots must be integers")
        return Ok(
            MemberEntry(
                member_id=item.key.removeprefix(PREFIX),
                group=read_text(body, "service"),
                address=parse_address(read_text(body, "address")),
                data_centre=read_text(body, "zone"),
                slots=slots,
                is_leaving=IS_LEAVING_BY_PHASE[read_text(body, "phase")],
                reports_primary=IS_PRIMARY_BY_ROLE[read_text(body, "dbRole")],
                started_at_ms=started_at_ms,
                revision=item.revision,
            )
        )
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        return Err(f"invalid entry: {error!r}")


def read_text(body: dict[str, Any], name: str) -> str:
    """Return a field that must be a string.

    Raises:
        TypeError: If it is not a string.
        KeyError: If it is missing.
    """
    value = body[name]
    if not isinstance(value, str):
        raise TypeError(f"{name} must be a string")
    return value
