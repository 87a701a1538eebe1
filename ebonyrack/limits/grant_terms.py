"""How long an account's grants are valid, and how many may be given at once.

Operations that run in a window of length W were granted in a span of W plus the time
for which a grant may be used. An owner grants at most `capacity + rate * span` in any
span, so the terms are chosen such that

    capacity + rate * (W + validity + send allowance)
        <= (rate * W + burst) * (1 + overshoot) + slack

with some of the right side left over. An account with a small rate gets a long validity
from the slack, an account with a large rate a short one.
"""

from __future__ import annotations

from msgspec import Struct

# Part of what the bounds allow above the limit that the terms use up. The rest is for
# reads that are repeated at another upstream and for processes that are suspended
# between the check of a grant and the sending.
USED_SHARE = 0.8
# Part of that which goes into the validity; the rest lets callers come unevenly.
VALIDITY_SHARE = 0.8
MAXIMUM_VALIDITY_S = 10.0
# Time between the last check of a grant and the operation's sending to an upstream.
SEND_ALLOWANCE_S = 0.1


class LimitBounds(Struct, frozen=True):
    """How strictly the platform checks the limits of accounts.

    Attributes:
        window_s: Length in seconds of the windows in which operations are counted.
        overshoot: Part of the limit by which a window may be above it.
        slack: Operations in addition to that.
    """

    window_s: float
    overshoot: float
    slack: float


class GrantTerms(Struct, frozen=True):
    """Terms on which operations of one account are granted.

    Attributes:
        rate_per_s: Operations granted per second over a long time.
        capacity: Operations granted at once at most.
        validity_s: Seconds for which a grant may be used, counted from before its
            request was sent.
    """

    rate_per_s: float
    capacity: float
    validity_s: float


def choose_terms(rate_per_s: float, burst: float, bounds: LimitBounds) -> GrantTerms:
    """Choose the terms for an account.

    Args:
        rate_per_s: Limit of the account, in operations per second.
        burst: Operations above the rate.
        bounds: How strictly the limits are checked.

    Returns:
        Terms that keep every window within the bounds.
    """
    limit = rate_per_s * bounds.window_s + burst
    usable = USED_SHARE * (bounds.overshoot * limit + bounds.slack)
    use_time_s = MAXIMUM_VALIDITY_S + SEND_ALLOWANCE_S
    if rate_per_s > 0:
        use_time_s = min(use_time_s, VALIDITY_SHARE * usable / rate_per_s)
    return GrantTerms(
        rate_per_s,
        burst + usable - rate_per_s * use_time_s,
        max(0.0, use_time_s - SEND_ALLOWANCE_S),
    )
