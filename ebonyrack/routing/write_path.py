"""Decides when a write may begin and when it may be acknowledged."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from ebonyrack.core import metrics
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.logs import log_decision
from ebonyrack.core.registry import Registry
from ebonyrack.upstreams.lag import compute_confirm_lag

if TYPE_CHECKING:
    from ebonyrack.core.position import LogPosition
    from ebonyrack.upstreams.connection import UpstreamConnection
    from ebonyrack.upstreams.group import DatabaseGroup

LEASE_S = 5.0
# Bounds of the retry-after time of a refusal for replication lag.
MINIMUM_RETRY_S = 0.2
MAXIMUM_RETRY_S = 1.0


class AcknowledgePolicy:
    """Acknowledges a write as soon as the primary has committed it."""

    __slots__ = ()

    def check_admitted(self, group: DatabaseGroup) -> None:
        """Refuse a write that could not be acknowledged.

        Args:
            group: The group.

        Raises:
            RequestError: REPLICAS_LAG.
        """

    async def acknowledge(
        self, group: DatabaseGroup, position: LogPosition, deadline_s: float
    ) -> None:
        """Wait until a committed write may be acknowledged.

        Args:
            group: The group.
            position: Position of the commit.
            deadline_s: Monotonic time at which to give up.

        Raises:
            RequestError: OUTCOME_UNKNOWN or UPSTREAM_LOST.
        """

    def compute_promotion_delay(self, group: DatabaseGroup) -> float:
        """Return how long a failed primary may still acknowledge writes.

        Args:
            group: The group.

        Returns:
            Seconds that a ballot must wait; 0 if it need not wait.
        """
        return 0.0


ACKNOWLEDGE_POLICIES: Registry[type[AcknowledgePolicy]] = Registry("acknowledge policy")


@ACKNOWLEDGE_POLICIES.register("majority")
class MajorityAcknowledgement(AcknowledgePolicy):
    """Acknowledges a write that a majority of the upstreams holds."""

    __slots__ = ()

    def check_admitted(self, group: DatabaseGroup) -> None:
        """Refuse a write while too few replicas could confirm it in time."""
        lag_s = compute_confirm_lag(group)
        if lag_s <= group.section.lag_refusal_s:
            return
        retry_after_s = random.uniform(MINIMUM_RETRY_S, MAXIMUM_RETRY_S)
        raise RequestError(
            ErrorKind.REPLICAS_LAG,
            f"group {group.name}: lag of {lag_s:.1f} s",
            retry_after_s,
        )

    async def acknowledge(
        self, group: DatabaseGroup, position: LogPosition, deadline_s: float
    ) -> None:
        """Wait for the majority."""
        await group.confirm(position, deadline_s)


@ACKNOWLEDGE_POLICIES.register("primary_alone")
class PrimaryAloneAcknowledgement(AcknowledgePolicy):
    """Baseline: the primary's commit suffices, so a failover can lose the write."""

    __slots__ = ()


@ACKNOWLEDGE_POLICIES.register("primary_lease")
class PrimaryLeaseAcknowledgement(AcknowledgePolicy):
    """Baseline: the primary's commit suffices while its lease lasts.

    Each poll that the primary answers starts a new lease; a ballot waits until the
    last lease has expired.
    """

    __slots__ = ()

    async def acknowledge(
        self, group: DatabaseGroup, position: LogPosition, deadline_s: float
    ) -> None:
        """Acknowledge within the lease of the term's primary."""
        if position.term < group.term or self.compute_promotion_delay(group) <= 0:
            raise RequestError(
                ErrorKind.OUTCOME_UNKNOWN, f"the lease ended before {position}"
            )

    def compute_promotion_delay(self, group: DatabaseGroup) -> float:
        """Return the remaining time of the primary's lease, in seconds."""
        primary = group.upstreams.get(group.primary_name or "")
        if primary is None or primary.answered_at_s is None:
            return 0.0
        return max(0.0, primary.answered_at_s + LEASE_S - now_s())


def check_write_admitted(group: DatabaseGroup) -> None:
    """Refuse a write before it runs if it could not be acknowledged.

    Args:
        group: The group.

    Raises:
        RequestError: NO_PRIMARY or REPLICAS_LAG; the write did not run.
    """
    if group.primary() is None:
        raise group.build_no_primary_error()
    ACKNOWLEDGE_POLICIES.get(group.section.acknowledge_policy)().check_admitted(group)


async def acknowledge_write(
    group: DatabaseGroup,
    connection: UpstreamConnection,
    position: LogPosition,
    deadline_s: float,
) -> None:
    """Wait until a committed write may be acknowledged under the group's policy.

    Args:
        group: The group.
        connection: Connection on which it was committed, for the log.
        position: Position of the commit.
        deadline_s: Monotonic time at which to give up.

    Raises:
        RequestError: OUTCOME_UNKNOWN if it was not confirmed in time; UPSTREAM_LOST
            if a change of primary has rolled it back.
    """
    started_s = now_s()
    policy_name = group.section.acknowledge_policy
    outcome = "acknowledged"
    try:
        await ACKNOWLEDGE_POLICIES.get(policy_name)().acknowledge(
            group, position, deadline_s
        )
        group.record_acknowledgement(position.term)
    except RequestError as error:
        outcome = str(error.kind)
        raise
    finally:
        waited_s = now_s() - started_s
        labels = {"group": group.name, "outcome": outcome}
        metrics.acknowledge_time.record(waited_s, labels)
        log_outcome(group, connection, position, policy_name, outcome, waited_s)


def log_outcome(
    group: DatabaseGroup,
    connection: UpstreamConnection,
    position: LogPosition,
    policy_name: str,
    outcome: str,
    waited_s: float,
) -> None:
    """Log the outcome of a committed write.

    Args:
        group: The group.
        connection: Connection on which it was committed.
        position: Position of the commit.
        policy_name: Policy under which it waited, even if the group has another now.
        outcome: `acknowledged`, or the kind of the error.
        waited_s: Seconds for which it waited.
    """
    log_decision(
        "write_acknowledged",
        group=group.name,
        upstream=find_upstream_name(group, connection),
        reason=policy_name,
        outcome=outcome,
        term=group.term,
        position=str(position),
        waited_s=round(waited_s, 4),
    )


def find_upstream_name(group: DatabaseGroup, connection: UpstreamConnection) -> str:
    """Return the name of a connection's upstream, or its address if it was removed."""
    for upstream in group.upstreams.values():
        if upstream.spec.address == connection.address:
            return upstream.name
    return str(connection.address)
