import asyncio

from ebonyrack.core.tasks import end_tasks


async def test_all_tasks_have_ended_whatever_they_end_with():
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
