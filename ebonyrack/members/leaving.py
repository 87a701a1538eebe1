"""The time up to which a leaving primary gets work."""

from __future__ import annotations

from ebonyrack.core.clock import boot_time_s
from ebonyrack.members.member import Member

# A request that is sent may have waited this long for a connection, and takes some
# milliseconds to arrive.
SENDING_MARGIN_S = 1.0


def measure_overtime(member: Member, leaving_limit_s: float | None) -> float:
    """Return the seconds for which a leaving upstream may get no work any more.

    Args:
        member: The upstream.
        leaving_limit_s: Seconds for which a leaving upstream may get work; None for no
            limit.

    Returns:
        The seconds, 0 if it may get work.
    """
    if leaving_limit_s is None or member.leaving_since_s is None:
        return 0.0
    end_s = member.leaving_since_s + max(0.0, leaving_limit_s - SENDING_MARGIN_S)
    return max(0.0, boot_time_s() - end_s)
