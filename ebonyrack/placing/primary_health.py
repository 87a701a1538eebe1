"""Assesses the health of a group's primary from the observations of one proxy."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

# Upstreams reply within milliseconds, and within half a second under the worst known
# load, during which some replies still arrive.
SILENCE_LIMIT_S = 0.5
# A restarted process takes longer than this to listen again.
REFUSAL_LIMIT_S = 0.2
# Commits wait for one replica, which takes milliseconds.
STALL_LIMIT_S = 0.7
# A change of primary that others have seen is known here within this time.
UNKNOWN_LIMIT_S = 0.6
# An upstream whose entry expired during a store outage has registered again by then.
MISSING_ENTRY_LIMIT_S = 2.5


class PrimaryHealth(StrEnum):
    """Health state of a primary."""

    SERVING = "serving"
    SILENT = "silent"
    REFUSING = "refusing"
    STALLED = "stalled"
    UNKNOWN = "unknown"
    LEAVING = "leaving"

    @property
    def needs_promotion(self) -> bool:
        """Whether another upstream should be promoted."""
        return self is not PrimaryHealth.SERVING

    @property
    def is_lost(self) -> bool:
        """Whether the primary serves no requests."""
        return self not in (PrimaryHealth.SERVING, PrimaryHealth.LEAVING)


class PrimaryObservation(Struct, frozen=True):
    """What a proxy observes of the primary.

    Attributes:
        is_known: Whether an upstream is presumed to be the primary.
        unknown_for_s: Seconds without a known primary.
        silent_for_s: Seconds for which it has left requests without a reply.
        silence_limit_s: Seconds of silence that its reply times can explain.
        refused_for_s: Seconds for which it has refused connections.
        stalled_for_s: Seconds for which commits have waited without any completing.
        is_leaving: Whether it will shut down soon.
        missing_for_s: Seconds for which its entry has been missing while the store
            replies.
    """

    is_known: bool
    unknown_for_s: float = 0.0
    silent_for_s: float = 0.0
    silence_limit_s: float = SILENCE_LIMIT_S
    refused_for_s: float = 0.0
    stalled_for_s: float = 0.0
    is_leaving: bool = False
    missing_for_s: float = 0.0


def assess_primary(observation: PrimaryObservation) -> PrimaryHealth:
    """Return the health state of the primary."""
    if not observation.is_known:
        lost = observation.unknown_for_s > UNKNOWN_LIMIT_S
        return PrimaryHealth.UNKNOWN if lost else PrimaryHealth.SERVING
    if observation.refused_for_s > REFUSAL_LIMIT_S:
        return PrimaryHealth.REFUSING
    if observation.silent_for_s > max(SILENCE_LIMIT_S, observation.silence_limit_s):
        return PrimaryHealth.SILENT
    if observation.stalled_for_s > STALL_LIMIT_S:
        return PrimaryHealth.STALLED
    if observation.is_leaving or observation.missing_for_s > MISSING_ENTRY_LIMIT_S:
        return PrimaryHealth.LEAVING
    return PrimaryHealth.SERVING
