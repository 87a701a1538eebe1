"""Owners: async context managers that start and stop what they own."""

from __future__ import annotations

from typing import Self


class Component:
    """Base of an async context manager with a start and a stop of its own."""

    __slots__ = ()

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start what is owned; there may be nothing to start."""

    async def stop(self) -> None:
        """Stop what is owned.

        Raises:
            NotImplementedError: If the owner says nothing of how it stops.
        """
        raise NotImplementedError
