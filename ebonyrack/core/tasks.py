"""Ending tasks that an owner has started."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any


async def end_tasks(tasks: Iterable[asyncio.Task[Any] | None]) -> None:
    """Cancel tasks and wait until all have ended, whatever they end with.

    Args:
        tasks: Tasks of the caller; None stands for one that was never started.
    """
    started = [task for task in tasks if task is not None]
    for task in started:
        task.cancel()
    await asyncio.gather(*started, return_exceptions=True)
