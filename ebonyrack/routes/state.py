"""The version of the routes that a process runs."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from ebonyrack.routes.route import EMPTY_TABLE
from ebonyrack.routes.route import RouteTable

Callback = Callable[[RouteTable], None]


class RouteState:
    """The routes in force: one attribute, replaced as a whole, never by older ones.

    Attributes:
        table: The routes in force.
        callbacks: Called with each new version.
    """

    __slots__ = ("table", "callbacks")

    def __init__(self) -> None:
        self.table = EMPTY_TABLE
        self.callbacks: list[Callback] = []

    def subscribe(self, callback: Callback) -> None:
        """Call a function with each new version."""
        self.callbacks.append(callback)

    def apply_if_newer(self, table: RouteTable, source: str) -> bool:
        """Put a version in force if it is newer than the present one.

        Args:
            table: The routes.
            source: Where they came from, for the log.

        Returns:
            Whether they are in force now.
        """
        if table.version <= self.table.version:
            return False
        previous = self.table.version
        self.table = table
        logger.bind(
            version=table.version,
            previous=previous,
            routes=len(table.routes),
            source=source,
        ).info("routes_in_force")
        for callback in tuple(self.callbacks):
            callback(table)
        return True
