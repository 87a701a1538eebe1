"""Base class of components that are started and stopped asynchronously."""

from __future__ import annotations

from typing import Self


class Component:
    """An async context manager that starts on entry and stops on exit."""

    __slots__ = ()

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start the component; by default there is nothing to start."""

    async def stop(self) -> None:
        """Stop the component.

        Raises:
            NotImplementedError: If the component doesn't implement it.
        """
        raise NotImplementedError
