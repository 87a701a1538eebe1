"""The version of the routes that is in force in this process."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from ebonyrack.core.clock import boot_time_s
from ebonyrack.routes.route import EMPTY_TABLE
from ebonyrack.routes.route import RouteTable

Callback = Callable[[RouteTable], None]


class RouteState:
    """The routes in force, which are replaced as a whole by newer versions only.

    Attributes:
        table: The routes in force.
        changed_s: Time of the last change, on the boot clock.
        callbacks: Called with each new version.
    """

    __slots__ = ("table", "changed_s", "callbacks")

    def __init__(self) -> None:
        self.table = EMPTY_TABLE
        self.changed_s = boot_time_s()
        self.callbacks: list[Callback] = []

    def subscribe(self, callback: Callback) -> None:
        """Register a function to be called with each new version."""
        self.callbacks.append(callback)

    def compute_in_force_s(self) -> float:
        """Return the seconds for which the routes have been in force."""
        return boot_time_s() - self.changed_s

    def apply_if_newer(self, table: RouteTable, source: str) -> bool:
        """Put a version in force if it is newer than the current one.

        Args:
            table: The routes.
            source: Where they came from, for the log.

        Returns:
            Whether the given version was put in force.
        """
        if table.version <= self.table.version:
            return False
        previous = self.table.version
        self.table = table
        self.changed_s = boot_time_s()
        logger.bind(
            version=table.version,
            previous=previous,
            routes=len(table.routes),
            accounts=len(table.accounts),
            source=source,
        ).info("routes_in_force")
        for callback in tuple(self.callbacks):
            callback(table)
        return True
