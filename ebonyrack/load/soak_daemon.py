"""A proxy as a process of its own, stopped, paused, killed and restarted by signals."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.standins.line_system import find_free_address

RESTART_PAUSE_S = 0.1
SETTINGS = """\
nodeName={name}
zone=bangkok-a
listen.front={front}
listen.healthAddr={ready}
platform.address={store}
cloud.address={store}
bounds.graceS=2
"""


class SoakDaemon(Component):
    """One proxy process; it is started again whenever it ends.

    Attributes:
        name: Its name.
        folder: Where its settings and its log are written.
        store: The platform's service.
        address: Where callers connect.
        process: The process that runs now, or None.
        starts: How often it was started.
        task: Keeps it running.
    """

    __slots__ = ("name", "folder", "store", "address", "process", "starts", "task")

    def __init__(self, name: str, folder: Path, store: Address) -> None:
        self.name = name
        self.folder = folder
        self.store = store
        self.address = find_free_address()
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Write the settings and start the process."""
        text = SETTINGS.format(
            name=self.name,
            front=self.address,
            ready=find_free_address(),
            store=self.store,
        )
        (self.folder / f"{self.name}.conf").write_text(text)
        self.task = asyncio.create_task(self.keep_running())

    async def stop(self) -> None:
        """End the process."""
        await end_tasks([self.task])
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def keep_running(self) -> None:
        """Start the process again whenever it ends, until cancelled."""
        while True:
            self.starts += 1
            with (self.folder / f"{self.name}.log").open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "ebonyrack.scripts.route_daemon",
                    "--settings",
                    str(self.folder / f"{self.name}.conf"),
                    stdout=log,
                    stderr=log,
                )
            await self.process.wait()
            await asyncio.sleep(RESTART_PAUSE_S)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that this soak started, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
