"""Life cycle of a proxy: starting, serving, finishing and stopped."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger
from transitions import Machine

if TYPE_CHECKING:
    from collections.abc import Callable


class Drain:
    """State machine of the life cycle, with graceful and forced shutdown.

    Attributes:
        state: `starting`, `serving`, `finishing` or `stopped`.
        requested: Set once a shutdown was requested.
        forced: Set once a second request asked to cut the remaining work.
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
        """Whether a shutdown was requested and new work is rejected."""
        return self.requested.is_set()

    def request(self, reason: str) -> None:
        """Request a graceful shutdown; a second request cuts the remaining work.

        Args:
            reason: Signal or command, for the log.
        """
        if self.requested.is_set():
            logger.bind(reason=reason).warning("shutdown_forced")
            self.forced.set()
            return
        logger.bind(reason=reason).info("shutdown_requested")
        self.begin()
        self.requested.set()
