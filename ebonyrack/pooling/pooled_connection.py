"""Interfaces of the connections and settings that a pool works with."""

from __future__ import annotations

from typing import Protocol


class PooledConnection(Protocol):
    """A connection that is used by one caller at a time."""

    @property
    def account(self) -> str:
        """Client account for which it was opened; empty for the proxy's own name."""

    @property
    def is_clean(self) -> bool:
        """Whether it is open and idle, with no reply outstanding."""

    @property
    def is_idle_in_transaction(self) -> bool:
        """Whether a transaction holds it and no reply is outstanding."""

    def close(self) -> None:
        """Close the connection at once."""


class QueueSettings(Protocol):
    """Settings of the queue in front of a pool."""

    @property
    def queue_limit(self) -> int:
        """Largest number of waiting requests."""
