"""Stand-ins of the platform and the proxy processes of a soak."""

from __future__ import annotations

import random
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ebonyrack.core.clock import now_s
from ebonyrack.load.fault_link import FaultLink
from ebonyrack.load.soak_accounts import SoakAccounts
from ebonyrack.load.soak_daemon import SoakDaemon
from ebonyrack.standins.line_system import LineSystem
from ebonyrack.standins.line_system import build_document
from ebonyrack.standins.line_system import find_free_addresses
from ebonyrack.standins.line_system import require_accounts
from ebonyrack.standins.line_upstream import LineUpstream

# Time after which replicas apply what they receive, without an injected lag.
APPLY_DELAY_S = 0.02


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """Seed and size of a soak.

    Attributes:
        seed: Seed of all random choices.
        duration_s: Time during which faults are injected, in seconds.
        proxies: Number of proxy processes.
        callers: Number of callers.
        is_promotion_fenced: Whether the platform fences promotions; if not, its store
            is also restored from copies.
        has_accounts: Whether callers need keys, which are withdrawn now and then.
    """

    seed: int
    duration_s: float
    proxies: int = 3
    callers: int = 8
    is_promotion_fenced: bool = True
    has_accounts: bool = False


class SoakSystem(LineSystem):
    """Stand-ins of the platform, with a fault link in front of each upstream.

    Attributes:
        options: Seed and size of the soak.
        folder: Directory of the proxies' settings and logs.
        links: Fault links by member ID of the upstream.
        daemons: The proxy processes.
        random: Random number generator of the faults.
        version: Version of the newest configuration.
        accounts: Client accounts and their keys, or None.
        sent: Text of each statement that a caller has sent, by its ID.
    """

    def __init__(self, options: SoakOptions, folder: Path) -> None:
        super().__init__(0, options.is_promotion_fenced)
        self.options = options
        self.folder = folder
        self.links = {
            member_id: FaultLink(upstream)
            for member_id, upstream in self.upstreams.items()
        }
        self.daemons: list[SoakDaemon] = []
        self.random = random.Random(options.seed)
        self.version = 1
        self.accounts = SoakAccounts() if options.has_accounts else None
        self.sent: dict[str, str] = {}
        self.document = self.build_document()

    async def start(self) -> None:
        """Start the stand-ins, the fault links and the proxy processes."""
        for member in self.group.members.values():
            member.apply_delay_s = APPLY_DELAY_S
        for link in self.links.values():
            await self.stack.enter_async_context(link)
        await super().start()
        addresses = find_free_addresses(2 * self.options.proxies)
        for number in range(self.options.proxies):
            daemon = SoakDaemon(
                f"proxy-{number}",
                self.folder,
                self.service.address,
                self.options.is_promotion_fenced,
                addresses[2 * number],
                addresses[2 * number + 1],
            )
            self.daemons.append(await self.stack.enter_async_context(daemon))

    def build_document(self, **changes: dict[str, Any]) -> dict[str, Any]:
        """Return the operators' document as of the current version.

        Args:
            **changes: Changed fields of a route, by the name of its database.
        """
        document = build_document(self.version, **changes)
        if self.accounts is None:
            return document
        return require_accounts(document, self.accounts.keys)

    async def replace_key(self, account: str) -> None:
        """Give an account another key in place of its oldest one."""
        assert self.accounts is not None
        self.version += 1
        withdrawn = self.accounts.replace_oldest_key(account)
        await self.publish_document(self.build_document())
        self.accounts.withdrawn_s[withdrawn] = now_s()

    async def publish_entry(self, upstream: LineUpstream, **changes: object) -> None:
        """Write an upstream's entry, with the address of its fault link."""
        link = self.links[upstream.member.member_id]
        await super().publish_entry(upstream, address=str(link.address), **changes)

    def choose_link(self) -> FaultLink:
        """Choose a random fault link."""
        return self.random.choice(list(self.links.values()))

    def choose_daemon(self) -> SoakDaemon:
        """Choose a random proxy process."""
        return self.random.choice(self.daemons)
