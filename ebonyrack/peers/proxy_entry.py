"""What a proxy tells the others of itself in the store."""

from __future__ import annotations

import msgpack
from msgspec import Struct

from ebonyrack.core.address import Address
from ebonyrack.core.address import parse_address
from ebonyrack.core.decoding import DECODING_ERRORS

ENTRY_VERSION = 1
# Fields of a known version; later versions may append others.
FIELD_COUNT = 5
# Processing power of one VM, in cores.
LARGEST_PROCESSOR_SHARE = 4096.0


class ProxyEntry(Struct, frozen=True):
    """A live proxy that can be asked over a link.

    Attributes:
        name: Name of the proxy.
        address: Where it listens for links.
        data_centre: Its data centre.
        processor_share: Its processing power in cores.
        build: Version of its program.
    """

    name: str
    address: Address
    data_centre: str
    processor_share: float
    build: str


def encode_entry(entry: ProxyEntry) -> bytes:
    """Return the value under which an entry is stored; its key holds the name."""
    fields = [
        ENTRY_VERSION,
        str(entry.address),
        entry.data_centre,
        entry.processor_share,
        entry.build,
    ]
    packed: bytes = msgpack.packb(fields)
    return packed


def decode_entry(name: str, value: bytes) -> ProxyEntry | None:
    """Return the entry that a stored value holds.

    Args:
        name: Name of the proxy.
        value: The value; builds without links store an empty one.

    Returns:
        The entry; None if the proxy can't be asked.
    """
    try:
        fields = msgpack.unpackb(value)
        if len(fields) < FIELD_COUNT or fields[0] < ENTRY_VERSION:
            return None
        _, address, data_centre, processor_share, build = fields[:FIELD_COUNT]
        entry = ProxyEntry(
            name, parse_address(address), data_centre, float(processor_share), build
        )
    except (msgpack.UnpackException, *DECODING_ERRORS):
        return None
    is_text = isinstance(data_centre, str) and isinstance(build, str)
    is_in_range = 0 < entry.processor_share <= LARGEST_PROCESSOR_SHARE
    return entry if is_text and is_in_range and entry.address.port else None
