"""The life cycle of a proxy: starting, serving, draining, stopped."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger
from transitions import Machine

if TYPE_CHECKING:
    from collections.abc import Callable


class Drain:
    """Whether the proxy serves, finishes its work or has ended.

    Attributes:
        state: `starting`, `serving`, `finishing` or `stopped`.
        requested: Set once a shutdown was asked for.
        forced: Set once the rest of the work is to be cut.
    """

    state: str
    serve: Callable[[], bool]
    begin: Callable[[], bool]
    finish: Callable[[], bool]

    def __init__(self) -> None:
        self.requested = asyncio.Event()
        self.forced = asyncio.Event()
        Machine(
            model=self,
            states=["starting", "serving", "finishing", "stopped"],
            initial="starting",
            transitions=[
                ["serve", "starting", "serving"],
                ["begin", ["starting", "serving"], "finishing"],
                ["finish", "finishing", "stopped"],
            ],
            auto_transitions=False,
        )

    @property
    def is_draining(self) -> bool:
        """Whether no new work is taken any more."""
        return self.requested.is_set()

    def request(self, reason: str) -> None:
        """Ask for a graceful shutdown; asking twice cuts what still runs.

        Args:
            reason: Signal or command, for the log.
        """
        if self.requested.is_set():
            logger.bind(reason=reason).warning("shutdown_hurried")
            self.forced.set()
            return
        logger.bind(reason=reason).info("shutdown_requested")
        self.begin()
        self.requested.set()
