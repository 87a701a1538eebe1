"""Components of the proxy that callers' sessions use."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ebonyrack.config.state import ConfigurationState
    from ebonyrack.core.settings import Settings
    from ebonyrack.peers.membership import Membership
    from ebonyrack.routing.read_index import ReadIndex
    from ebonyrack.service.drain import Drain
    from ebonyrack.upstreams.group import DatabaseGroup


def return_false() -> bool:
    """Return False; the default for a proxy that can't be cut off."""
    return False


def ignore_cancel(number: int, secret_key: bytes) -> None:
    """Ignore a cancel request; the default for a proxy without peers."""


@dataclass(slots=True)
class Services:
    """Shared components and state that sessions use.

    Attributes:
        settings: Settings of the process.
        configuration: The operators' document in force.
        membership: Membership table of the proxies.
        drain: Life cycle of the proxy; shows whether it is shutting down.
        token_key: Key that signs session tokens; the same on every proxy.
        groups: Database groups by name.
        read_indexes: Read index of each group, by the group's name.
        is_cut_off: Returns whether neither the store nor a peer has answered for so
            long that the document in force may be out of date.
        forward_cancel: Forwards a cancel request for an unknown session to the peers.
    """

    settings: Settings
    configuration: ConfigurationState
    membership: Membership
    drain: Drain
    token_key: bytes
    groups: dict[str, DatabaseGroup] = field(default_factory=dict)
    read_indexes: dict[str, ReadIndex] = field(default_factory=dict)
    is_cut_off: Callable[[], bool] = return_false
    forward_cancel: Callable[[int, bytes], None] = ignore_cancel


def derive_token_key(secret: str) -> bytes:
    """Derive the key that signs session tokens from the proxies' shared secret.

    Args:
        secret: Value of `secret` in the section `[peers]`.

    Returns:
        A key of 32 bytes.
    """
    return hmac.digest(secret.encode(), b"ebonyrack session token", hashlib.sha256)
