"""Shards: groups of accounts whose limits have the same owner among the proxies."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache

SHARD_COUNT = 8
DIGEST_BYTES = 8
SHARD_CACHE_SIZE = 4096


def hash_text(text: str) -> int:
    """Return a number that is the same for a text in all processes."""
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


@lru_cache(maxsize=SHARD_CACHE_SIZE)
def find_shard(account: str) -> int:
    """Return the shard of an account."""
    return hash_text(account) % SHARD_COUNT


def rank_owner(shard: int, name: str, names: Iterable[str]) -> int:
    """Return how many proxies are preferred to one as the owner of a shard.

    Args:
        shard: The shard.
        name: Name of the proxy.
        names: Names of the live proxies.
    """
    own = hash_text(f"{shard} {name}")
    others = set(names) - {name}
    return sum(hash_text(f"{shard} {other}") > own for other in others)
