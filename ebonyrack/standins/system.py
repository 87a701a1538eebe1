"""A whole system in one event loop: platform, one database group and proxies."""

from __future__ import annotations

import asyncio
import secrets
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING
from typing import Any

from ebonyrack.config.stored import StoredDocument
from ebonyrack.config.stored import pack_stored
from ebonyrack.core.component import Component
from ebonyrack.core.settings import parse_settings
from ebonyrack.service.proxy import Proxy
from ebonyrack.standins.group import StandinGroup
from ebonyrack.standins.platform import StandinPlatform

if TYPE_CHECKING:
    from ebonyrack.config.sections import GroupSection

GROUP = "scheduling-a"
USER = "booking"
DATA_CENTRE = "bangkok-1"
START_TIMEOUT_S = 20.0
SECRET_BYTES = 8

SETTINGS = """
[proxy]
name = {name}
data_centre = {data_centre}
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
trust_loopback_callers = true
[store]
address = {store}
[peers]
seeds = {seeds}
secret = {secret}
cut_off_after_s = {cut_off_after_s}
"""

APPLICATION_SECTION = f"""
[application booking]
owner = booking
user = {USER}
verifier = none
groups = {GROUP}
"""


def format_group_section(section: GroupSection) -> str:
    """Format a group's section of the document as INI text.

    Args:
        section: The section.

    Returns:
        Its text, with the header.
    """
    values: dict[str, Any] = section.model_dump()
    values["upstreams"] = " ".join(
        f"{spec.name}={spec.address}@{spec.data_centre}" for spec in section.upstreams
    )
    values["leaving"] = " ".join(section.leaving)
    lines = [f"{key} = {value}" for key, value in values.items()]
    return "\n".join([f"[group {GROUP}]", *lines, ""])


class System(Component):
    """Stand-ins and proxies of one process: an async context manager.

    Attributes:
        platform: The platform's stand-in.
        group: The database group's stand-in.
        proxies: Running proxies by name.
        secret: Secret shared by the proxies of this system only.
        cut_off_after_s: Seconds without contact until a proxy is considered cut off.
        operators: The operators' sections of the document.
        overrides: Values of the group's section.
    """

    def __init__(
        self,
        proxies: int = 2,
        cut_off_after_s: float = 10.0,
        operators: str = "",
        data_centres: tuple[str, ...] = (),
        **overrides: Any,
    ) -> None:
        self.platform = StandinPlatform()
        self.group = StandinGroup(data_centres=data_centres)
        self.proxies: dict[str, Proxy] = {}
        self.serve_tasks: dict[str, asyncio.Task[int]] = {}
        # Another system on this machine may be given the port of a killed proxy.
        self.secret = secrets.token_hex(SECRET_BYTES)
        self.cut_off_after_s = cut_off_after_s
        self.operators = operators
        self.overrides = overrides
        self.proxy_count = proxies
        self.revision = 0
        self.stack = AsyncExitStack()

    async def start(self) -> None:
        """Start the stand-ins and the proxies."""
        await self.stack.enter_async_context(self.platform)
        await self.stack.enter_async_context(self.group)
        self.put_document()
        for number in range(self.proxy_count):
            await self.start_proxy(f"proxy-{number + 1}")

    async def stop(self) -> None:
        """Shut the proxies down, then stop the stand-ins."""
        for name in tuple(self.proxies):
            await self.stop_proxy(name)
        await self.stack.aclose()

    def put_document(self, **overrides: Any) -> None:
        """Put a new revision of the document into the store without checking it.

        Args:
            **overrides: Further keys of the group's section.
        """
        self.overrides.update(overrides)
        self.revision += 1
        section = self.group.section(**self.overrides)
        text = format_group_section(section) + APPLICATION_SECTION + self.operators
        stored = pack_stored(StoredDocument(self.revision, text, ()))
        self.platform.state.put("ebonyrack/document", stored, None, 0)

    async def start_proxy(self, name: str, data_centre: str = DATA_CENTRE) -> Proxy:
        """Start a proxy and wait until it serves callers.

        Args:
            name: Its name.
            data_centre: Its data centre.

        Returns:
            The proxy.
        """
        seeds = [str(proxy.hub.address) for proxy in self.proxies.values()]
        text = SETTINGS.format(
            name=name,
            data_centre=data_centre,
            store=self.platform.address,
            seeds=" ".join(seeds),
            secret=self.secret,
            cut_off_after_s=self.cut_off_after_s,
        )
        settings, errors = parse_settings(text, name)
        if settings is None:
            raise ValueError("; ".join(map(str, errors)))
        proxy = Proxy(settings)
        await proxy.start()
        self.proxies[name] = proxy
        self.serve_tasks[name] = asyncio.create_task(proxy.serve())
        async with asyncio.timeout(START_TIMEOUT_S):
            while proxy.listener.server is None:
                await asyncio.sleep(0.01)
            while GROUP not in proxy.services.groups:
                await asyncio.sleep(0.01)
        return proxy

    async def stop_proxy(self, name: str) -> int:
        """Shut a proxy down gracefully.

        Args:
            name: Its name.

        Returns:
            The number of requests that were cut.
        """
        proxy = self.proxies.pop(name)
        proxy.drain.request("test")
        cut_requests = await self.serve_tasks.pop(name)
        await proxy.stop()
        return cut_requests

    async def kill_proxy(self, name: str) -> None:
        """Stop a proxy abruptly, as a crash would.

        Args:
            name: Its name.
        """
        proxy = self.proxies.pop(name)
        task = self.serve_tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await proxy.stop()
