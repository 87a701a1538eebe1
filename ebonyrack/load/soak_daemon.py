"""A proxy that runs as a separate process and is controlled by signals."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks

RESTART_PAUSE_S = 0.1
SETTINGS = """\
nodeName={name}
zone=bangkok-a
listen.front={front}
listen.healthAddr={ready}
platform.address={store}
cloud.address={store}
bounds.graceS=2
bounds.requireFencing={fenced}
"""


class SoakDaemon(Component):
    """One proxy process, which is restarted whenever it exits.

    Attributes:
        name: Name of the proxy.
        folder: Directory of its settings and its log.
        store: Address of the platform's service.
        is_promotion_fenced: Whether the platform fences promotions.
        address: Address at which callers connect.
        ready_address: Address at which it tells whether it is ready.
        process: The current process, or None before the first start.
        start_count: Number of times that the process was started.
        task: Task that restarts the process.
    """

    __slots__ = (
        "name",
        "folder",
        "store",
        "is_promotion_fenced",
        "address",
        "ready_address",
        "process",
        "start_count",
        "task",
    )

    def __init__(
        self,
        name: str,
        folder: Path,
        store: Address,
        is_promotion_fenced: bool,
        address: Address,
        ready_address: Address,
    ) -> None:
        self.name = name
        self.folder = folder
        self.store = store
        self.is_promotion_fenced = is_promotion_fenced
        self.address = address
        self.ready_address = ready_address
        self.process: asyncio.subprocess.Process | None = None
        self.start_count = 0
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Write the settings and start the task that runs the process."""
        text = SETTINGS.format(
            name=self.name,
            front=self.address,
            ready=self.ready_address,
            store=self.store,
            fenced=str(self.is_promotion_fenced).lower(),
        )
        (self.folder / f"{self.name}.conf").write_text(text)
        self.task = asyncio.create_task(self.run_and_restart())

    async def stop(self) -> None:
        """Kill the process and stop restarting it."""
        await end_tasks([self.task])
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def run_and_restart(self) -> None:
        """Run the process and restart it whenever it exits, until cancelled."""
        while True:
            self.start_count += 1
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

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)
