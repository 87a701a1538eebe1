"""Watching the store for new revisions and for leaving VMs."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger
from result import Err
from result import Ok
from result import Result

from ebonyrack.config.leaving_vms import LeavingVms
from ebonyrack.config.spread import DocumentSpread
from ebonyrack.config.state import ConfigurationState
from ebonyrack.config.stored import DOCUMENT_KEY
from ebonyrack.config.verification import PauseVerification
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.settings import Settings
from ebonyrack.core.tasks import end_tasks
from ebonyrack.peers.hub import PeerHub
from ebonyrack.peers.member import Member
from ebonyrack.store.backoff import Backoff
from ebonyrack.store.consul_store import ConsulStore
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.store_response import StoreValue

FIRST_BACKOFF_S = 0.2
MAXIMUM_BACKOFF_S = 5.0
EMPTY_PAUSE_S = 1.0
MINIMUM_PAUSE_S = 0.05
SILENCE_SHARE = 0.4

Step = Callable[[], Awaitable[Result[bool, StoreError]]]


class ConfigurationWatch(Component):
    """Keeps the document and the VM list up to date: an async context manager.

    Few proxies of each data centre watch the store, chosen by rendezvous hashing
    over the live ones; the others hear from their peers.

    Attributes:
        settings: Settings of the process.
        state: The document in force.
        store: The platform's store.
        hub: Links to the peers.
        leaving_vms: Which VMs are leaving.
        spread: Passes revisions on between peers.
        verification: Verifies the document after a long pause.
        started_at_s: Time from which silence is counted.
    """

    def __init__(
        self,
        settings: Settings,
        state: ConfigurationState,
        store: ConsulStore,
        hub: PeerHub,
    ) -> None:
        self.settings = settings
        self.state = state
        self.store = store
        self.hub = hub
        self.leaving_vms = LeavingVms(store, hub)
        self.spread = DocumentSpread(state, hub)
        self.verification = PauseVerification(settings.peers, self.spread, store)
        self.started_at_s = now_s()
        self.index = 0
        self.members_changed = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start to watch."""
        self.started_at_s = now_s()
        self.hub.membership.subscribe(self.notice_change)
        self.tasks = [
            asyncio.create_task(self.watch_forever("document", self.watch_document)),
            asyncio.create_task(self.watch_forever("vms", self.watch_vms)),
            asyncio.create_task(self.break_silence()),
        ]

    async def stop(self) -> None:
        """End the watches."""
        await end_tasks(self.tasks)
        await self.verification.stop()

    @property
    def is_watcher(self) -> bool:
        """Whether this proxy watches the store for its data centre."""
        own = self.hub.membership.local
        peers = [
            member
            for member in self.hub.membership.live_members()
            if member.data_centre == own.data_centre and member.name != own.name
        ]
        own_rank = rank_watcher(own)
        better = sum(1 for member in peers if rank_watcher(member) < own_rank)
        return better < self.settings.store.watchers_per_data_centre

    @property
    def silence_s(self) -> float:
        """Seconds since the store or any peer was heard."""
        heard_at_s = max(
            self.started_at_s, self.store.answered_at_s or 0.0, self.hub.heard_at_s
        )
        return now_s() - heard_at_s

    @property
    def is_cut_off(self) -> bool:
        """Whether neither the store nor any peer was heard for the stated time."""
        if not self.verification.is_verified:
            return True
        return self.silence_s > self.settings.peers.cut_off_after_s

    def notice_change(self, member: Member) -> None:
        """Look again who watches after a change of the members."""
        self.members_changed.set()

    async def watch_forever(self, name: str, step: Step) -> None:
        """Repeat one kind of watch while this proxy is a watcher.

        Args:
            name: What is watched, for the log.
            step: One watch; tells whether there was anything to wait for.
        """
        backoff = Backoff(FIRST_BACKOFF_S, MAXIMUM_BACKOFF_S)
        while True:
            await self.wait_until_watcher()
            result = await step()
            if isinstance(result, Err):
                logger.bind(
                    watch=name,
                    kind=result.err_value.kind,
                    reason=result.err_value.reason,
                ).warning("watch_failed")
                await asyncio.sleep(backoff.choose_delay())
                continue
            backoff.reset()
            await asyncio.sleep(MINIMUM_PAUSE_S if result.ok_value else EMPTY_PAUSE_S)

    async def wait_until_watcher(self) -> None:
        """Wait while enough others of the data centre watch."""
        while not self.is_watcher:
            self.members_changed.clear()
            await self.members_changed.wait()

    async def break_silence(self) -> None:
        """Ask the store when nobody was heard for a part of the cut-off time.

        A watch is silent for as long as nothing changes, so without this a proxy
        that has no peers would count itself as cut off.
        """
        limit_s = self.settings.peers.cut_off_after_s * SILENCE_SHARE
        while True:
            await asyncio.sleep(limit_s * random.uniform(0.5, 1.0))
            if self.silence_s > limit_s:
                answer = await self.store.get(DOCUMENT_KEY)
                if isinstance(answer, Ok) and answer.ok_value is not None:
                    self.state.offer_bytes(answer.ok_value.value, "store")

    async def watch_vms(self) -> Result[bool, StoreError]:
        """Wait once for a change of the VM list."""
        return await self.leaving_vms.watch(self.settings.store.watch_s)

    async def watch_document(self) -> Result[bool, StoreError]:
        """Wait once for a change of the document."""
        answer = await self.store.watch(
            DOCUMENT_KEY, self.index, self.settings.store.watch_s
        )
        return answer.map(self.take_value)

    def take_value(self, value: StoreValue | None) -> bool:
        """Offer what a watch brought."""
        if value is None:
            self.index = 0
            return False
        self.index = value.index
        self.state.offer_bytes(value.value, "store")
        return True


def rank_watcher(member: Member) -> tuple[int, str]:
    """Return a member's rank among the watchers of its data centre."""
    return zlib.crc32(f"watch {member.name}".encode()), member.name
