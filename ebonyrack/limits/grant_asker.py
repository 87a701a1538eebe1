"""Asks the owners of shards for grants, one question at a time for each shard."""

from __future__ import annotations

import asyncio

from msgspec import Struct
from result import Err

from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.component import Component
from ebonyrack.core.logs import log_failure
from ebonyrack.core.notifier import Notifier
from ebonyrack.core.tasks import end_tasks
from ebonyrack.limits.account_stock import Token
from ebonyrack.limits.limit_messages import NOT_THE_OWNER
from ebonyrack.limits.limit_messages import AskGrants
from ebonyrack.limits.limit_messages import GrantsReply
from ebonyrack.limits.proxy_stock import ProxyStock
from ebonyrack.limits.shard import SHARD_COUNT
from ebonyrack.limits.shard import find_shard
from ebonyrack.limits.shard_hold import ShardHold
from ebonyrack.peers.proxy_links import ProxyLinks
from ebonyrack.store.leasing_store import LeasingStore

# A round trip takes a few milliseconds; a frozen owner answers nothing.
ASK_TIMEOUT_S = 0.25
# An owner that did not answer is not asked again within this time.
FAILURE_PAUSE_S = 0.3

# Operations wait this long for a shard that is being given to another owner.
CHANGE_WAIT_S = 0.4
# ... and this long for a grant of which the owner said when it has it.
SHORT_WAIT_S = 0.05
MAXIMUM_ATTEMPTS = 3

Waiter = asyncio.Future[Token | None]


class AskFailure(Struct, frozen=True):
    """The last failure to get an answer of a shard's owner.

    Attributes:
        owner: The owner that was asked.
        is_refusal: Whether it replied that it isn't the owner.
        since_s: Time of the first such failure in a row, on the boot clock.
        failed_at_s: Time of the last one.
    """

    owner: str
    is_refusal: bool
    since_s: float
    failed_at_s: float


class GrantAsker(Component):
    """Gets grants from the owners, of which this proxy may be one.

    Attributes:
        links: Links to the other proxies.
        store: The store, whose generation the own shards depend on.
        hold: The own shards and the owners of the others.
        stock: The grants that this proxy holds.
        waiting: Operations that wait for a grant, by shard and account.
        tasks: Task that asks for the grants of a shard.
        keys_changed: Wakes tasks when the owner of a shard has changed.
        failures: Last failure to ask the owner of each shard.
        answered_at_s: Time of the last reply, by shard.
    """

    __slots__ = (
        "links",
        "store",
        "hold",
        "stock",
        "waiting",
        "tasks",
        "keys_changed",
        "failures",
        "answered_at_s",
    )

    def __init__(
        self,
        links: ProxyLinks,
        store: LeasingStore,
        hold: ShardHold,
        stock: ProxyStock,
        keys_changed: Notifier,
    ) -> None:
        self.links = links
        self.store = store
        self.hold = hold
        self.stock = stock
        self.waiting: list[dict[str, list[Waiter]]] = [{} for _ in range(SHARD_COUNT)]
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.keys_changed = keys_changed
        self.failures: list[AskFailure | None] = [None] * SHARD_COUNT
        self.answered_at_s = [0.0] * SHARD_COUNT

    async def stop(self) -> None:
        """Stop asking; operations that wait get nothing."""
        await end_tasks(list(self.tasks.values()))

    def find_obstacle(self, account: str) -> str:
        """Return why it is no use to ask for an account's grants now, or ""."""
        shard, now_s = find_shard(account), boot_time_s()
        stock = self.stock.accounts.get(account)
        if stock is not None and now_s < stock.short_until_s:
            return "the limit is used up"
        owner = self.hold.find_owner(shard)
        if owner is None:
            return "the shard has no owner"
        failure = self.failures[shard]
        if failure is None or failure.owner != owner:
            return ""
        is_recent = now_s < failure.failed_at_s + FAILURE_PAUSE_S
        return "the owner does not answer" if is_recent else ""

    def find_short_wait(self, account: str) -> float:
        """Return the seconds until the owner has a grant again, if these are few.

        The bucket of an owner that has just taken its shard is empty, also of an
        account that is far below its limit.
        """
        stock = self.stock.accounts.get(account)
        wait_s = stock.due_s - boot_time_s() if stock is not None else 0.0
        return wait_s if 0 < wait_s <= SHORT_WAIT_S else 0.0

    def is_changing(self, shard: int) -> bool:
        """Return whether a shard is being given to another owner."""
        failure, owner = self.failures[shard], self.hold.find_owner(shard)
        if owner is None:
            return self.hold.is_released(shard)
        if failure is None or failure.owner != owner or not failure.is_refusal:
            return False
        return boot_time_s() < failure.since_s + CHANGE_WAIT_S

    async def wait_for_owner(self, shard: int) -> None:
        """Wait for a shard that is being given to another owner, for a short time."""
        deadline_s = boot_time_s() + CHANGE_WAIT_S
        while self.is_changing(shard):
            remaining_s = deadline_s - boot_time_s()
            if remaining_s <= 0 or not await self.keys_changed.wait(remaining_s):
                return

    def record_failure(self, shard: int, owner: str, is_refusal: bool) -> None:
        """Record that the owner of a shard gave no answer, or isn't its owner."""
        now_s = boot_time_s()
        known = self.failures[shard]
        since_s = now_s
        if known is not None and (known.owner, known.is_refusal) == (owner, is_refusal):
            since_s = known.since_s
        self.failures[shard] = AskFailure(owner, is_refusal, since_s, now_s)

    async def fetch(self, account: str) -> Token | None:
        """Get a token from the owner, or None.

        Args:
            account: Name of the account.
        """
        shard = find_shard(account)
        token = None
        for _ in range(MAXIMUM_ATTEMPTS):
            await self.wait_for_owner(shard)
            await asyncio.sleep(self.find_short_wait(account))
            if self.find_obstacle(account):
                return None
            token = await self.fetch_once(account, shard)
            is_final = not (self.is_changing(shard) or self.find_short_wait(account))
            if token is not None or is_final:
                return token
        return token

    async def fetch_once(self, account: str, shard: int) -> Token | None:
        """Put an operation into the next question for the owner of a shard."""
        waiter: Waiter = asyncio.get_running_loop().create_future()
        self.waiting[shard].setdefault(account, []).append(waiter)
        self.start_asking(shard)
        return await waiter

    def fetch_ahead(self, account: str) -> None:
        """Start to get grants that will be needed soon, if there are too few."""
        stock = self.stock.accounts.get(account)
        if stock is not None and stock.needs_more(boot_time_s()):
            if not self.find_obstacle(account):
                self.start_asking(find_shard(account))

    def start_asking(self, shard: int) -> None:
        """Start to ask the owner of a shard, unless a question is under way."""
        if shard not in self.tasks:
            task = asyncio.create_task(self.ask_while_needed(shard))
            self.tasks[shard] = task

    async def ask_while_needed(self, shard: int) -> None:
        """Ask until no operation waits for grants of a shard."""
        try:
            while True:
                # Operations that arrive together share a question.
                await asyncio.sleep(0)
                batch, self.waiting[shard] = self.waiting[shard], {}
                try:
                    await self.ask_once(shard, batch)
                finally:
                    self.hand_out(batch)
                if not self.waiting[shard]:
                    return
        finally:
            del self.tasks[shard]

    async def ask_once(self, shard: int, batch: dict[str, list[Waiter]]) -> None:
        """Ask the owner once and apply the reply."""
        needed = {
            account: sum(not waiter.done() for waiter in waiters)
            for account, waiters in batch.items()
        }
        names = [name for name in self.stock.accounts if find_shard(name) == shard]
        asked_s = boot_time_s()
        ask = self.stock.build_question(shard, needed, names, asked_s)
        if not ask.wanted:
            return
        owner = self.hold.find_owner(shard)
        reply = await self.ask_owner(owner, ask) if owner is not None else None
        if owner is None or reply is None:
            self.stock.record_failure(ask)
        else:
            now_s = boot_time_s()
            self.answered_at_s[shard] = now_s
            self.stock.apply_reply(ask, reply, asked_s, now_s)
        if owner is not None and (reply is None or not reply.is_owner):
            self.record_failure(shard, owner, is_refusal=reply is not None)
        else:
            self.failures[shard] = None

    async def ask_owner(self, owner: str, ask: AskGrants) -> GrantsReply | None:
        """Return the reply of a shard's owner, or None if there is none."""
        if owner == self.hold.name:
            return self.answer(ask)
        result = await self.links.ask(owner, ask, ASK_TIMEOUT_S)
        if isinstance(result, Err):
            failure = result.err_value
            log_failure(
                "shard_owner_not_reached",
                shard=ask.shard,
                owner=owner,
                reason=failure.reason,
                was_sent=failure.was_sent,
            )
            return None
        reply = result.ok_value
        return reply if isinstance(reply, GrantsReply) else None

    def answer(self, ask: AskGrants) -> GrantsReply:
        """Answer a question about a shard that this proxy may own."""
        now_s = boot_time_s()
        book = self.hold.find_book(ask.shard, now_s, self.store.generation)
        return book.answer(ask, now_s) if book is not None else NOT_THE_OWNER

    def hand_out(self, batch: dict[str, list[Waiter]]) -> None:
        """Give the operations that wait what there is now, in order."""
        now_s = boot_time_s()
        for account, waiters in batch.items():
            stock = self.stock.accounts.get(account)
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(stock.take(now_s) if stock else None)
