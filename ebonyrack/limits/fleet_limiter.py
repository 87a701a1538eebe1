"""Admits operations of client accounts within limits that hold over all proxies."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

from result import Err
from result import Ok
from result import Result

from ebonyrack.core import metrics
from ebonyrack.core.clock import boot_time_s
from ebonyrack.core.component import Component
from ebonyrack.core.logs import log_failure
from ebonyrack.core.route_settings import RouteProxySettings
from ebonyrack.limits.account_stock import AccountStock
from ebonyrack.limits.account_stock import Token
from ebonyrack.limits.admission import Admission
from ebonyrack.limits.admission import LimitRejection
from ebonyrack.limits.grant_asker import GrantAsker
from ebonyrack.limits.grant_terms import LimitBounds
from ebonyrack.limits.limit_messages import AskGrants
from ebonyrack.limits.limit_messages import GrantsReply
from ebonyrack.limits.proxy_stock import ProxyStock
from ebonyrack.limits.shard import find_shard
from ebonyrack.limits.shard_hold import ShardHold
from ebonyrack.limits.shard_keeper import ShardKeeper
from ebonyrack.peers.proxy_links import ProxyLinks
from ebonyrack.routes.account import ClientAccount
from ebonyrack.routes.route import RouteTable
from ebonyrack.store.follower import StoreAvailability
from ebonyrack.store.follower import compute_watch_time
from ebonyrack.store.leasing_store import LeasingStore

# Accounts that metrics show by name; the others are shown together.
NAMED_ACCOUNTS = 8
OTHER_ACCOUNTS = "other"
# Wait that callers are told while a shard has no owner that answers.
OWNER_WAIT_S = 0.5
WORD_BYTES = 6


class FleetLimiter(Component):
    """Keeps the limits of accounts together with the other proxies.

    It does nothing until a version of the configuration has an account with a limit.

    Attributes:
        links: Links to the other proxies.
        stock: The grants that this proxy holds.
        hold: The shards that it owns, and the owners of the others.
        keeper: Keeps the shards in the store.
        asker: Gets grants from the owners.
        limits: Rate and burst by name of each account with a limit.
        version: Version that they come from.
        named: Accounts that metrics show by name.
        is_active: Whether an account has had a limit.
    """

    def __init__(
        self,
        settings: RouteProxySettings,
        bounds: LimitBounds,
        store: LeasingStore,
        links: ProxyLinks,
        list_names: Callable[[], Iterable[str]],
        refresh_names: Callable[[], Awaitable[None]],
        availability: StoreAvailability,
    ) -> None:
        self.links = links
        self.stock = ProxyStock(f"{settings.name}/{secrets.token_hex(WORD_BYTES)}")
        self.hold = ShardHold(
            settings.name, str(settings.caller_address), boot_time_s(), bounds
        )
        self.keeper = ShardKeeper(
            store,
            self.hold,
            list_names,
            refresh_names,
            self.update_books,
            availability,
            compute_watch_time(settings.apply_limit_s),
        )
        self.asker = GrantAsker(
            links, store, self.hold, self.stock, self.keeper.changed
        )
        self.limits: dict[str, tuple[float, float]] = {}
        self.version = 0
        self.named: frozenset[str] = frozenset()
        self.is_active = False

    async def start(self) -> None:
        """Start to answer the other proxies."""
        self.links.register(AskGrants, self.answer)

    async def stop(self) -> None:
        """Stop asking; the shards end with their lease unless they were released."""
        await self.asker.stop()
        await self.keeper.stop()

    async def release(self) -> None:
        """Give the shards to other proxies, before this one stops to serve."""
        if self.is_active:
            await self.keeper.release()

    async def apply_table(self, table: RouteTable) -> None:
        """Put the limits of a version of the configuration in force."""
        self.version = table.version
        self.limits = {
            account.name: (account.rate_per_s, account.burst)
            for account in table.accounts.values()
            if account.rate_per_s is not None
        }
        by_size = sorted(self.limits, key=lambda name: self.limits[name], reverse=True)
        self.named = frozenset(by_size[:NAMED_ACCOUNTS])
        self.stock.set_limits(self.limits, self.version, boot_time_s())
        self.update_books()
        if self.limits and not self.is_active:
            self.is_active = True
            await self.keeper.start()

    def update_books(self) -> None:
        """Put the limits in force in the books of the owned shards."""
        for shard, book in self.hold.books.items():
            if book.version < self.version:
                limits = {
                    name: limit
                    for name, limit in self.limits.items()
                    if find_shard(name) == shard
                }
                book.set_version(limits, self.version, boot_time_s())

    async def answer(self, sender: str, ask: AskGrants) -> GrantsReply:
        """Answer another proxy's question."""
        return self.asker.answer(ask)

    async def admit(self, account: ClientAccount) -> Result[Admission, LimitRejection]:
        """Admit one operation, which is a statement or a whole transaction.

        Args:
            account: The caller's account.

        Returns:
            The admission, or why the operation must not run now.
        """
        stock = self.stock.accounts.get(account.name)
        if stock is None:
            return Ok(Admission())
        stock.uses.record(boot_time_s())
        token = await self.take(account.name)
        if isinstance(token, LimitRejection):
            return Err(token)
        return Ok(Admission(self, account.name, token))

    async def take(self, account: str) -> Token | LimitRejection:
        """Take a token of an account; ask its owner if none is held."""
        stock = self.stock.accounts.get(account)
        if stock is None:
            # The limit was removed meanwhile; any token serves until the next check.
            return Token(0, self.version, float("inf"))
        token = stock.take(boot_time_s())
        if token is None:
            token = await self.asker.fetch(account)
        else:
            self.asker.fetch_ahead(account)
        outcome = "admitted" if token is not None else "rejected"
        self.count(account, outcome)
        return token if token is not None else self.build_rejection(account, stock)

    def is_usable(self, account: str, token: Token) -> bool:
        """Return whether an operation may be sent with a token now."""
        stock = self.stock.accounts.get(account)
        return stock is None or stock.is_usable(token, boot_time_s())

    def put_back(self, account: str, token: Token) -> None:
        """Return a token that was not used."""
        stock = self.stock.accounts.get(account)
        if stock is not None:
            stock.put_back(token, boot_time_s())

    def build_rejection(self, account: str, stock: AccountStock) -> LimitRejection:
        """Build and log the rejection of an operation without a token."""
        shard, now_s = find_shard(account), boot_time_s()
        reason = self.asker.find_obstacle(account) or "the owner granted too few"
        due_s = stock.due_s - now_s if stock.due_s > now_s else OWNER_WAIT_S
        log_failure(
            "limit_rejected",
            account=account,
            reason=reason,
            retry_after_s=round(due_s, 3),
            rate_here_per_s=round(stock.uses.compute(now_s), 2),
            limit_per_s=stock.limit[0] if stock.limit else None,
            version=self.version,
            shard=shard,
            owner=self.hold.find_owner(shard),
            answered_ago_s=round(now_s - self.asker.answered_at_s[shard], 3),
        )
        return LimitRejection(due_s, reason)

    def count(self, account: str, outcome: str) -> None:
        """Count an operation in the metrics."""
        name = account if account in self.named else OTHER_ACCOUNTS
        metrics.limit_decisions.add(1, {"account": name, "outcome": outcome})
