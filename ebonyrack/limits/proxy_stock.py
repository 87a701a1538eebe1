"""All grants that a proxy holds, its questions and the effect of their replies."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from ebonyrack.limits.account_stock import AccountStock
from ebonyrack.limits.account_stock import Token
from ebonyrack.limits.limit_messages import AskGrants
from ebonyrack.limits.limit_messages import GrantsReply


class ProxyStock:
    """Grants of all accounts at one proxy.

    Attributes:
        asker: Name of this process, unique for each of its starts.
        accounts: Stock by name of the account.
        version: Version of the configuration in force here.
        last_number: Number of the last question.
        owner_versions: Version that the owner of each shard knew last.
    """

    __slots__ = ("asker", "accounts", "version", "last_number", "owner_versions")

    def __init__(self, asker: str) -> None:
        self.asker = asker
        self.accounts: dict[str, AccountStock] = {}
        self.version = 0
        self.last_number = 0
        self.owner_versions: dict[int, int] = {}

    def set_limits(
        self, limits: Mapping[str, tuple[float, float]], version: int, now_s: float
    ) -> None:
        """Put the limits of a version in force.

        Args:
            limits: Rate and burst by name of the account.
            version: The version.
            now_s: Current time on the boot clock.
        """
        self.version = version
        for name in self.accounts.keys() - limits.keys():
            del self.accounts[name]
        for name, limit in limits.items():
            stock = self.accounts.setdefault(name, AccountStock())
            stock.set_limit(limit, version, now_s)

    def build_question(
        self, shard: int, needed: Mapping[str, int], names: Iterable[str], now_s: float
    ) -> AskGrants:
        """Build the next question for the owner of a shard.

        Args:
            shard: The shard.
            needed: Number of operations that wait, by account.
            names: All accounts of the shard.
            now_s: Current time on the boot clock.
        """
        self.last_number += 1
        wanted: dict[str, int] = {}
        unused: dict[str, list[list[int]]] = {}
        for name in names:
            stock = self.accounts.get(name)
            if stock is None:
                continue
            stock.drop_expired(now_s)
            count = needed.get(name, 0)
            if count or stock.needs_more(now_s):
                ahead = stock.compute_target(now_s) - len(stock.tokens)
                wanted[name] = count + max(0, ahead)
            if stock.unused:
                unused[name] = [list(pair) for pair in stock.unused.items()]
        is_known = self.owner_versions.get(shard, 0) >= self.version
        limits = {} if is_known else self.list_limits(wanted)
        return AskGrants(
            self.asker,
            self.last_number,
            shard,
            self.version,
            dict(needed),
            wanted,
            unused,
            limits,
        )

    def list_limits(self, names: Iterable[str]) -> dict[str, list[float]]:
        """Return rate and burst of accounts."""
        limits = {name: self.accounts[name].limit for name in names}
        return {name: list(limit) for name, limit in limits.items() if limit}

    def apply_reply(
        self, ask: AskGrants, reply: GrantsReply, asked_s: float, now_s: float
    ) -> None:
        """Add what was granted.

        Args:
            ask: The question.
            reply: The owner's reply.
            asked_s: Time before the question was sent, on the boot clock.
            now_s: Current time.
        """
        if not reply.is_owner:
            self.owner_versions.pop(ask.shard, None)
            return
        self.owner_versions[ask.shard] = reply.version
        for name, told in ask.unused.items():
            stock = self.accounts.get(name)
            if stock is not None:
                stock.forget_unused(told)
        for name, count in reply.counts.items():
            stock = self.accounts.get(name)
            if stock is None:
                continue
            stock.validity_s = reply.validity_s.get(name, 0.0)
            version = ask.version if name in ask.limits else 0
            token = Token(
                ask.number,
                max(version, reply.version),
                asked_s + stock.validity_s,
            )
            stock.add(token, count)
            stock.drop_expired(now_s)
        for name, due_in_s in reply.due_s.items():
            stock = self.accounts.get(name)
            if stock is not None:
                stock.record_shortage(due_in_s, now_s)

    def record_failure(self, ask: AskGrants) -> None:
        """Record that a question has no reply, so that its grants are told back.

        Nothing that may have been granted in reply to it will be used.
        """
        for name, count in ask.wanted.items():
            stock = self.accounts.get(name)
            if stock is not None:
                stock.add_unused(ask.number, count)
