"""A whole stand-in database group in one event loop."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

from ebonyrack.config.sections import GroupSection
from ebonyrack.config.sections import UpstreamSpec
from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.standins.options import UpstreamOptions
from ebonyrack.standins.upstream import StandinUpstream
from ebonyrack.upstreams.status import Role

FIRST_TERM = 1
DATA_CENTRE = "dc-1"
LOOPBACK = "127.0.0.1"


class StandinGroup(Component):
    """Upstreams that replicate from the first, with methods that inject faults.

    Attributes:
        upstreams: Upstreams by name, `up-1` first.
        data_centres: Data centre of each upstream, for the operators' document.
    """

    __slots__ = ("upstreams", "data_centres")

    def __init__(
        self,
        count: int = 3,
        options: UpstreamOptions | None = None,
        addresses: tuple[Address, ...] = (),
        data_centres: tuple[str, ...] = (),
        name_prefix: str = "up",
    ) -> None:
        shared = options or UpstreamOptions()
        self.upstreams: dict[str, StandinUpstream] = {}
        self.data_centres = data_centres or (DATA_CENTRE,) * count
        for number in range(count):
            name = f"{name_prefix}-{number + 1}"
            address = addresses[number] if addresses else Address(LOOPBACK, 0)
            self.upstreams[name] = StandinUpstream(name, replace(shared), address)

    async def start(self) -> None:
        """Start the upstreams; the first becomes the primary."""
        for upstream in self.upstreams.values():
            await upstream.start()
        names = {item.address: name for name, item in self.upstreams.items()}
        for upstream in self.upstreams.values():
            upstream.peer_names = names
        first, *others = self.upstreams.values()
        await first.fence(FIRST_TERM)
        await first.promote(FIRST_TERM)
        for upstream in others:
            await upstream.follow(FIRST_TERM, first.address)

    async def stop(self) -> None:
        """Kill all upstreams and close their databases."""
        await asyncio.gather(*(item.kill() for item in self.upstreams.values()))
        for upstream in self.upstreams.values():
            upstream.database.close()

    def __getitem__(self, name: str) -> StandinUpstream:
        return self.upstreams[name]

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the upstreams."""
        return tuple(self.upstreams)

    def primary(self) -> StandinUpstream | None:
        """Return the running primary of the highest term, if there is one."""
        primaries = [
            item
            for item in self.upstreams.values()
            if item.role is Role.PRIMARY and item.is_running
        ]
        return max(primaries, key=lambda item: item.term, default=None)

    def specs(self) -> tuple[UpstreamSpec, ...]:
        """Return the upstreams as the operators' document lists them."""
        return tuple(
            UpstreamSpec(name=name, address=item.address, data_centre=data_centre)
            for (name, item), data_centre in zip(
                self.upstreams.items(), self.data_centres, strict=True
            )
        )

    def section(self, **overrides: Any) -> GroupSection:
        """Return the group's section of the operators' document.

        Args:
            **overrides: Keys that differ from their defaults.
        """
        return GroupSection(
            **{"owner": "database", "upstreams": self.specs(), **overrides}
        )

    async def kill(self, name: str) -> None:
        """Kill an upstream; only its log and terms persist."""
        await self.upstreams[name].kill()

    async def restart(self, name: str) -> None:
        """Restart a killed upstream as a replica that waits for a follow command."""
        await self.upstreams[name].restart()

    async def reimage(self, name: str) -> None:
        """Restart an upstream under its name with an empty disk."""
        await self.upstreams[name].reimage()

    def freeze(self, name: str) -> None:
        """Freeze an upstream: it keeps its sockets but neither reads nor sends."""
        self.upstreams[name].faults.apply(frozen=True)

    def resume(self, name: str) -> None:
        """Resume a frozen upstream where it stopped."""
        self.upstreams[name].faults.apply(frozen=False)

    def cut(self, source: str, target: str, one_way: bool = False) -> None:
        """Cut the link between two ends; its bytes are queued.

        Args:
            source: Name of an upstream, or `proxies`.
            target: Name of an upstream, or `proxies`.
            one_way: Whether bytes from target to source still arrive.
        """
        sender, receiver = self.upstreams.get(source), self.upstreams.get(target)
        if sender is not None:
            sender.faults.apply(cut_to=sender.faults.cut_to | {target})
        if receiver is not None:
            receiver.faults.apply(cut_from=receiver.faults.cut_from | {source})
        if not one_way:
            self.cut(target, source, one_way=True)

    def heal(self) -> None:
        """Heal every cut link; queued bytes are delivered."""
        for upstream in self.upstreams.values():
            upstream.faults.apply(cut_from=set(), cut_to=set())

    def delay_answers(self, name: str, answer_delay_s: float) -> None:
        """Delay every reply of an upstream, in seconds."""
        self.upstreams[name].faults.answer_delay_s = answer_delay_s

    def lose_commit_answers(self, name: str, count: int = 1) -> None:
        """Make the next commits take effect but abort their connections."""
        self.upstreams[name].faults.lost_commit_answers = count

    def set_lag(self, apply_delay_s: float, receive_delay_s: float = 0.0) -> None:
        """Set the delays of applying and receiving the log, in seconds."""
        for upstream in self.upstreams.values():
            upstream.options.apply_delay_s = apply_delay_s
            upstream.options.receive_delay_s = receive_delay_s
