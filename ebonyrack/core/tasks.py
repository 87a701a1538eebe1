"""Starting and ending the tasks of an owner."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from loguru import logger

# Pause before a loop that broke is started again, in seconds.
RESTART_PAUSE_S = 0.5


async def end_tasks(tasks: Iterable[asyncio.Task[Any] | None]) -> None:
    """Cancel tasks and wait until all have ended, whatever they end with.

    Args:
        tasks: Tasks of the caller; None stands for one that was never started.
    """
    started = [task for task in tasks if task is not None]
    for task in started:
        task.cancel()
    await asyncio.gather(*started, return_exceptions=True)


def start_loop(run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    """Start a loop that must go on; one that breaks is logged and started again.

    Args:
        run: The loop; it ends by being cancelled.

    Returns:
        Its task.
    """
    return asyncio.create_task(run_for_ever(run))


async def run_for_ever(run: Callable[[], Awaitable[None]]) -> None:
    """Run a loop again whenever it breaks."""
    while True:
        try:
            await run()
        except Exception:
            name = getattr(run, "__qualname__", str(run))
            logger.bind(loop=name).exception("loop_broke")
        await asyncio.sleep(RESTART_PAUSE_S)
