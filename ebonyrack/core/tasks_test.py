import asyncio

from ebonyrack.core.tasks import end_tasks
from ebonyrack.core.tasks import start_loop


async def test_all_tasks_have_ended_after_end_tasks():
    async def clean_up_slowly():
        try:
            await asyncio.sleep(60)
        finally:
            await asyncio.sleep(0)

    async def fail():
        raise ValueError

    tasks = [asyncio.create_task(clean_up_slowly()), asyncio.create_task(fail()), None]
    await asyncio.sleep(0)
    await end_tasks(tasks)
    assert all(task.done() for task in tasks if task is not None)


async def test_failed_loop_is_restarted(monkeypatch):
    monkeypatch.setattr("ebonyrack.core.tasks.RESTART_PAUSE_S", 0.0)
    runs = []

    async def run():
        runs.append(1)
        if len(runs) < 3:
            raise ValueError("odd")
        await asyncio.Event().wait()

    task = start_loop(run)
    while len(runs) < 3:
        await asyncio.sleep(0)
    await end_tasks([task])
    assert len(runs) == 3


async def test_loop_whose_clean_up_fails_ends_when_it_is_cancelled():
    async def fail_when_cancelled():
        try:
            await asyncio.sleep(60)
        finally:
            raise ValueError("the connection is not in use")

    loop = start_loop(fail_when_cancelled)
    await asyncio.sleep(0)
    async with asyncio.timeout(5):
        await end_tasks([loop])
    assert loop.done()
