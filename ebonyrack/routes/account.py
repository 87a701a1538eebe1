"""Client accounts: who callers act for, and the digests of their keys."""

from __future__ import annotations

import hashlib

from msgspec import Struct

# Name of the account of callers that act for none.
ANONYMOUS = ""


class ClientAccount(Struct, frozen=True):
    """A client account of one version of the configuration.

    Attributes:
        name: Name of the account, a single word.
        priority: 0 is served first.
        rate_per_s: Operations per second over all proxies, or None for no limit.
        burst: Operations above the rate.
    """

    name: str
    priority: int
    rate_per_s: float | None
    burst: float


def digest_key(key: bytes) -> bytes:
    """Return the SHA-256 digest by which a key is known after it was read."""
    return hashlib.sha256(key).digest()
