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
    """Upstreams that replicate from the first, with hooks to make them fail.

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
        """End all upstreams and forget their databases."""
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
        """Return the upstreams as the operators' document names them."""
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
        """Stop an upstream at once; only its log and terms stay."""
        await self.upstreams[name].kill()

    async def restart(self, name: str) -> None:
        """Bring a killed upstream back as a replica that waits to follow."""
        await self.upstreams[name].restart()

    async def reimage(self, name: str) -> None:
        """Bring an upstream back under its name with nothing on its disk."""
        await self.upstreams[name].reimage()

    def freeze(self, name: str) -> None:
        """Let an upstream keep its sockets but neither read nor answer."""
        self.upstreams[name].faults.apply(frozen=True)

    def resume(self, name: str) -> None:
        """Let a frozen upstream go on where it stopped."""
        self.upstreams[name].faults.apply(frozen=False)

    def cut(self, source: str, target: str, one_way: bool = False) -> None:
        """Hold back all bytes between two ends.

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
        """Mend every cut link; bytes held back are delivered."""
        for upstream in self.upstreams.values():
            upstream.faults.apply(cut_from=set(), cut_to=set())

    def delay_answers(self, name: str, answer_delay_s: float) -> None:
        """Delay every answer of an upstream, in seconds."""
        self.upstreams[name].faults.answer_delay_s = answer_delay_s

    def lose_commit_answers(self, name: str, count: int = 1) -> None:
        """Let the next commits take effect but break off before the answer."""
        self.upstreams[name].faults.lost_commit_answers = count

    def set_lag(self, apply_delay_s: float, receive_delay_s: float = 0.0) -> None:
        """Set how far replicas are behind, in seconds."""
        for upstream in self.upstreams.values():
            upstream.options.apply_delay_s = apply_delay_s
            upstream.options.receive_delay_s = receive_delay_s
