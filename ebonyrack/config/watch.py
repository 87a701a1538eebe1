"""Watches of the store for new revisions and for leaving VMs."""

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
from ebonyrack.config.propagation import DocumentPropagation
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
EMPTY_WATCH_DELAY_S = 1.0
WATCH_DELAY_S = 0.05
PROBE_AFTER_FRACTION = 0.4

Step = Callable[[], Awaitable[Result[bool, StoreError]]]


class ConfigurationWatch(Component):
    """Keeps the document and the VM list up to date: an async context manager.

    A few proxies of each data centre, chosen by rendezvous hashing over the live
    ones, watch the store; the others receive changes from their peers.

    Attributes:
        settings: Settings of the process.
        state: The document in force.
        store: The platform's store.
        hub: Links to the peers.
        leaving_vms: Which VMs are leaving.
        propagation: Propagates revisions between peers.
        verification: Verifies the document after a long pause.
        started_at_s: Time from which silence is measured.
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
        self.propagation = DocumentPropagation(state, hub)
        self.verification = PauseVerification(settings.peers, self.propagation, store)
        self.started_at_s = now_s()
        self.index = 0
        self.members_changed = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the watches."""
        self.started_at_s = now_s()
        self.hub.membership.subscribe(self.handle_member_change)
        self.tasks = [
            asyncio.create_task(self.watch_forever("document", self.watch_document)),
            asyncio.create_task(self.watch_forever("vms", self.watch_vms)),
            asyncio.create_task(self.probe_store_when_silent()),
        ]

    async def stop(self) -> None:
        """Stop the watches."""
        await end_tasks(self.tasks)
        await self.verification.stop()

    @property
    def is_watcher(self) -> bool:
        """Whether this proxy watches the store for its data centre."""
        local = self.hub.membership.local
        peers = [
            member
            for member in self.hub.membership.live_members()
            if member.data_centre == local.data_centre and member.name != local.name
        ]
        local_rank = rank_watcher(local)
        ranked_before = sum(1 for member in peers if rank_watcher(member) < local_rank)
        return ranked_before < self.settings.store.watchers_per_data_centre

    @property
    def silence_s(self) -> float:
        """Seconds since the last contact with the store or any peer."""
        last_contact_at_s = max(
            self.started_at_s,
            self.store.answered_at_s or 0.0,
            self.hub.last_heartbeat_at_s,
        )
        return now_s() - last_contact_at_s

    @property
    def is_cut_off(self) -> bool:
        """Whether the document is unverified or the last contact is too long ago."""
        if not self.verification.is_verified:
            return True
        return self.silence_s > self.settings.peers.cut_off_after_s

    def handle_member_change(self, member: Member) -> None:
        """Re-evaluate who watches after a membership change."""
        self.members_changed.set()

    async def watch_forever(self, name: str, step: Step) -> None:
        """Repeat one kind of watch while this proxy is a watcher.

        Args:
            name: What is watched, for the log.
            step: One watch; returns whether there is anything to watch.
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
            await asyncio.sleep(
                WATCH_DELAY_S if result.ok_value else EMPTY_WATCH_DELAY_S
            )

    async def wait_until_watcher(self) -> None:
        """Wait while enough other proxies of the data centre watch."""
        while not self.is_watcher:
            self.members_changed.clear()
            await self.members_changed.wait()

    async def probe_store_when_silent(self) -> None:
        """Probe the store after a fraction of the cut-off time without contact.

        A watch returns nothing while nothing changes, so without this probe a proxy
        that has no peers would consider itself cut off.
        """
        limit_s = self.settings.peers.cut_off_after_s * PROBE_AFTER_FRACTION
        while True:
            await asyncio.sleep(limit_s * random.uniform(0.5, 1.0))
            if self.silence_s > limit_s:
                answer = await self.store.get(DOCUMENT_KEY)
                if isinstance(answer, Ok) and answer.ok_value is not None:
                    self.state.apply_bytes_if_newer(answer.ok_value.value, "store")

    async def watch_vms(self) -> Result[bool, StoreError]:
        """Wait once for a change of the VM list."""
        return await self.leaving_vms.watch(self.settings.store.watch_s)

    async def watch_document(self) -> Result[bool, StoreError]:
        """Wait once for a change of the document."""
        answer = await self.store.watch(
            DOCUMENT_KEY, self.index, self.settings.store.watch_s
        )
        return answer.map(self.apply_value)

    def apply_value(self, value: StoreValue | None) -> bool:
        """Apply the result of a watch."""
        if value is None:
            self.index = 0
            return False
        self.index = value.index
        self.state.apply_bytes_if_newer(value.value, "store")
        return True


def rank_watcher(member: Member) -> tuple[int, str]:
    """Return a member's rank among the watchers of its data centre."""
    return zlib.crc32(f"watch {member.name}".encode()), member.name
