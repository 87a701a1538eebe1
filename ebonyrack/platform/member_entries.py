"""Decodes the entries that upstreams publish in the platform's store."""

from __future__ import annotations

from typing import Any

from result import Err
from result import Ok
from result import Result

from ebonyrack.core.address import parse_address
from ebonyrack.core.decoding import DECODING_ERRORS
from ebonyrack.core.decoding import parse_json
from ebonyrack.core.decoding import raise_defects
from ebonyrack.core.decoding import read_integer
from ebonyrack.members.entry import MemberEntry
from ebonyrack.platform.account_entries import is_word
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

    Raises:
        ProgramDefectError: If the program is at fault, not the entry.
    """
    try:
        body: Any = parse_json(item.value)
        address = parse_address(read_text(body, "address"))
        if address.port == 0:
            return Err("invalid entry: nobody listens on port 0")
        # Upstreams are told the first two as words of a line.
        member_id = check_word(item.key.removeprefix(PREFIX))
        group = check_word(read_text(body, "service"))
        data_centre = read_text(body, "zone")
        slots = read_integer(body["slots"])
        is_leaving = IS_LEAVING_BY_PHASE[read_text(body, "phase")]
        reports_primary = IS_PRIMARY_BY_ROLE[read_text(body, "dbRole")]
        # Upstreams of older versions don't publish their start time.
        started_at_ms = read_integer(body.get("born", 0))
        with raise_defects():
            entry = MemberEntry(
                member_id=member_id,
                group=group,
                address=address,
                data_centre=data_centre,
                slots=slots,
                is_leaving=is_leaving,
                reports_primary=reports_primary,
                started_at_ms=started_at_ms,
                revision=item.revision,
            )
        return Ok(entry)
    except DECODING_ERRORS as error:
        return Err(f"invalid entry: {error!r:.200}")


def check_word(text: str) -> str:
    """Return a text that must be one printable word.

    Raises:
        ValueError: If it is not.
    """
    if not is_word(text):
        raise ValueError("not a printable word")
    return text


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
