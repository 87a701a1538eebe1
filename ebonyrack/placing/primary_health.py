"""Whether a group's primary is lost, from what one proxy sees of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

# Upstreams answer within some milliseconds, and under the worst load that is known
# within half a second, while some answer still comes from time to time.
SILENCE_LIMIT_S = 0.5
# A process that is restarted takes longer than this to listen again.
REFUSAL_LIMIT_S = 0.2
# Commits wait for one replica, which takes milliseconds.
STALL_LIMIT_S = 0.7
# A change of primary that others see takes this long to be heard of here.
UNKNOWN_LIMIT_S = 0.6
# An upstream whose entry has lapsed during an outage of the store is back by then.
MISSING_ENTRY_LIMIT_S = 2.5


class PrimaryHealth(StrEnum):
    """What is to be done about the primary."""

    SERVING = "serving"
    SILENT = "silent"
    REFUSING = "refusing"
    STALLED = "stalled"
    UNKNOWN = "unknown"
    LEAVING = "leaving"

    @property
    def needs_promotion(self) -> bool:
        """Whether another upstream should lead."""
        return self is not PrimaryHealth.SERVING


@dataclass(frozen=True, slots=True)
class PrimaryObservation:
    """What a proxy sees of the primary.

    Attributes:
        is_known: Whether any upstream is taken for the primary.
        unknown_for_s: Seconds since none is.
        silent_for_s: Seconds for which it has not answered what was sent.
        silence_limit_s: Seconds of silence that its reply times let expect.
        refused_for_s: Seconds for which it has refused connections.
        stalled_for_s: Seconds for which commits wait without any being done.
        is_leaving: Whether it will end soon.
        missing_for_s: Seconds since its entry is missing although the store answers.
    """

    is_known: bool
    unknown_for_s: float = 0.0
    silent_for_s: float = 0.0
    silence_limit_s: float = SILENCE_LIMIT_S
    refused_for_s: float = 0.0
    stalled_for_s: float = 0.0
    is_leaving: bool = False
    missing_for_s: float = 0.0


def assess_primary(view: PrimaryObservation) -> PrimaryHealth:
    """Return what is to be done about the primary."""
    if not view.is_known:
        lost = view.unknown_for_s > UNKNOWN_LIMIT_S
        return PrimaryHealth.UNKNOWN if lost else PrimaryHealth.SERVING
    if view.refused_for_s > REFUSAL_LIMIT_S:
        return PrimaryHealth.REFUSING
    if view.silent_for_s > max(SILENCE_LIMIT_S, view.silence_limit_s):
        return PrimaryHealth.SILENT
    if view.stalled_for_s > STALL_LIMIT_S:
        return PrimaryHealth.STALLED
    if view.is_leaving or view.missing_for_s > MISSING_ENTRY_LIMIT_S:
        return PrimaryHealth.LEAVING
    return PrimaryHealth.SERVING
