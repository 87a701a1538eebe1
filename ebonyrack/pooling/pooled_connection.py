"""What a pool needs to know of a connection."""

from __future__ import annotations

from typing import Protocol


class PooledConnection(Protocol):
    """A connection that one caller at a time may use."""

    @property
    def is_clean(self) -> bool:
        """Whether it is open and idle, with nothing due."""

    @property
    def is_idle_in_transaction(self) -> bool:
        """Whether it is held by a transaction whose caller has asked for nothing."""

    def close(self) -> None:
        """Drop the connection at once."""


class QueueSettings(Protocol):
    """Settings of the queue before a pool."""

    @property
    def queue_limit(self) -> int:
        """Largest number of requests that wait."""
