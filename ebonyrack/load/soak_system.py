"""Stand-ins of the platform and proxy processes for a soak."""

from __future__ import annotations

import random
from dataclasses import dataclass
from pathlib import Path

from ebonyrack.load.fault_link import FaultLink
from ebonyrack.load.soak_daemon import SoakDaemon
from ebonyrack.standins.line_system import LineSystem
from ebonyrack.standins.line_upstream import LineUpstream

# How late replicas show what they receive when nothing is wrong, in seconds.
APPLY_DELAY_S = 0.02


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """What a soak does.

    Attributes:
        seed: Seed of every random choice.
        duration_s: Seconds of faults.
        proxies: Proxy processes.
        callers: Callers.
    """

    seed: int
    duration_s: float
    proxies: int = 3
    callers: int = 8


class SoakSystem(LineSystem):
    """Stand-ins of the platform, with a loopback proxy before each upstream.

    Attributes:
        options: What the soak does.
        links: Loopback proxy by upstream.
        daemons: The proxy processes.
        draws: Random numbers of the faults.
        version: Version of the newest configuration.
    """

    def __init__(self, options: SoakOptions, folder: Path) -> None:
        super().__init__(proxy_count=0)
        self.options = options
        self.folder = folder
        self.links = {
            member_id: FaultLink(upstream)
            for member_id, upstream in self.upstreams.items()
        }
        self.daemons: list[SoakDaemon] = []
        self.draws = random.Random(options.seed)
        self.version = 1

    async def start(self) -> None:
        """Start the stand-ins, the loopback proxies and the processes."""
        for member in self.group.members.values():
            member.apply_delay_s = APPLY_DELAY_S
        for link in self.links.values():
            await self.stack.enter_async_context(link)
        await super().start()
        for number in range(self.options.proxies):
            daemon = SoakDaemon(f"proxy-{number}", self.folder, self.service.address)
            self.daemons.append(await self.stack.enter_async_context(daemon))

    async def publish_entry(self, upstream: LineUpstream, **changes: object) -> None:
        """Write an upstream's entry, with the address of its loopback proxy."""
        link = self.links[upstream.member.member_id]
        await super().publish_entry(upstream, address=str(link.address), **changes)

    def draw_link(self) -> FaultLink:
        """Return any loopback proxy."""
        return self.draws.choice(list(self.links.values()))

    def draw_daemon(self) -> SoakDaemon:
        """Return any proxy process."""
        return self.draws.choice(self.daemons)
