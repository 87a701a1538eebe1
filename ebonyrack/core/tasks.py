"""Starting and cancelling background tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from loguru import logger

# Pause before a failed loop is restarted, in seconds.
RESTART_PAUSE_S = 0.5


async def end_tasks(tasks: Iterable[asyncio.Task[Any] | None]) -> None:
    """Cancel tasks and wait until all have ended, ignoring their exceptions.

    Args:
        tasks: The tasks; None stands for one that was never started.
    """
    started = [task for task in tasks if task is not None]
    for task in started:
        task.cancel()
    await asyncio.gather(*started, return_exceptions=True)


def start_loop(run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    """Start a background loop whose failures are logged and that is then restarted.

    Args:
        run: The loop, which ends only by being cancelled.

    Returns:
        Its task.
    """
    return asyncio.create_task(run_forever(run))


async def run_forever(run: Callable[[], Awaitable[None]]) -> None:
    """Restart a loop whenever it ends or raises an exception, until cancelled."""
    while True:
        try:
            await run()
        except Exception:
            name = getattr(run, "__qualname__", str(run))
            logger.bind(loop=name).exception("loop_failed")
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                # The exception of a failed clean-up has replaced the cancellation.
                raise
        await asyncio.sleep(RESTART_PAUSE_S)
