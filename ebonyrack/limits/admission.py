"""Permission for one operation of a caller under the limit of its account."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from ebonyrack.limits.account_stock import Token

if TYPE_CHECKING:
    from ebonyrack.limits.fleet_limiter import FleetLimiter


class LimitRejection(Struct, frozen=True):
    """Why an operation was not admitted. It has not run.

    Attributes:
        retry_after_s: Seconds after which it may be admitted.
        reason: Why it wasn't.
    """

    retry_after_s: float
    reason: str


class Admission:
    """Permission for one operation.

    Attributes:
        limiter: Gave the token; None if the account has no limit.
        account: Name of the account.
        token: Token of the operation; None without a limit, or given back.
        is_sent: Whether the operation was sent to an upstream.
    """

    __slots__ = ("limiter", "account", "token", "is_sent")

    def __init__(
        self,
        limiter: FleetLimiter | None = None,
        account: str = "",
        token: Token | None = None,
    ) -> None:
        self.limiter = limiter
        self.account = account
        self.token = token
        self.is_sent = False

    async def confirm(self) -> LimitRejection | None:
        """Check the permission just before the operation is sent to an upstream.

        One that has waited for so long that its token expired gets another one.

        Returns:
            None if the operation may be sent, or why it may not.
        """
        if self.limiter is None or self.is_sent:
            return None
        if self.token is None or not self.limiter.is_usable(self.account, self.token):
            self.give_back()
            renewed = await self.limiter.take(self.account)
            if isinstance(renewed, LimitRejection):
                return renewed
            self.token = renewed
        self.is_sent = True
        return None

    def give_back(self) -> None:
        """Give the token back, unless the operation was sent to an upstream."""
        if self.limiter is None or self.token is None or self.is_sent:
            return
        self.limiter.put_back(self.account, self.token)
        self.token = None
