"""The key of a shard in the store: its owner, or what the last owner left."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping

from msgspec import Struct
from msgspec import field

from ebonyrack.core.decoding import DECODING_ERRORS
from ebonyrack.core.decoding import parse_json


class ShardOwner(Struct, frozen=True):
    """The value of a shard's key.

    Attributes:
        name: Name of the owner.
        address: Address that only one process at a time can have.
        word: Random word of the owner's lease.
    """

    name: str
    address: str
    word: str

    def encode(self) -> bytes:
        """Return the value of the key."""
        return f"{self.name} {self.address} {self.word}".encode()


def encode_levels(levels: Mapping[str, float]) -> bytes:
    """Return the value of the key of a released shard.

    Args:
        levels: Level of the bucket by name of the account.
    """
    return json.dumps(
        {name: round(level, 2) for name, level in levels.items()}
    ).encode()


def decode_levels(value: bytes) -> dict[str, float]:
    """Return the levels that the key of a released shard holds; none if malformed."""
    try:
        levels = {name: float(level) for name, level in parse_json(value).items()}
    except DECODING_ERRORS:
        return {}
    return {name: level for name, level in levels.items() if math.isfinite(level)}


def decode_owner(value: bytes) -> ShardOwner | None:
    """Return the owner that a key's value names, or None if it is malformed."""
    words = value.decode("utf-8", "replace").split(" ")
    return ShardOwner(*words) if len(words) == 3 else None


class ShardKey(Struct, frozen=True):
    """The key of a shard, as it was read last.

    Attributes:
        owner: The owner, or None if it has none.
        revision: Its revision; 0 if it doesn't exist.
        seen_s: Time since which it is known so, on the boot clock.
        last_owner: Name of the owner before, where there is none now.
        levels: Level of the accounts' buckets when the shard was released.
    """

    owner: ShardOwner | None
    revision: int
    seen_s: float
    last_owner: str | None = None
    levels: dict[str, float] = field(default_factory=dict)
