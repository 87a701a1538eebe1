"""Updates a group from the latest status of one of its upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.core.logs import log_decision
from ebonyrack.core.position import LogPosition
from ebonyrack.upstreams.pool_admission import update_pool_admission
from ebonyrack.upstreams.status import Role

if TYPE_CHECKING:
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream


def handle_status(group: DatabaseGroup, upstream: Upstream) -> None:
    """Update the group from an upstream's latest status.

    Args:
        group: The group.
        upstream: The upstream that reported it.
    """
    status = upstream.status
    if status is None or group.upstreams.get(upstream.name) is not upstream:
        return
    if status.role is Role.PRIMARY:
        group.record_primary(status.term, upstream.name)
    if upstream.name == group.primary_name and upstream.is_primary_in(group.term):
        group.primary_history.add(status.received)
        for other in group.upstreams.values():
            other.confirmed_log.observe_primary(
                status.received, upstream.poll_sent_at_s
            )
    if upstream.confirmed_log.observe(status.received, upstream.poll_sent_at_s):
        handle_log_regression(group, upstream)
    if not upstream.is_regressed:
        if group.confirmations.observe(upstream.name, status):
            record_confirmed_positions(group)
    if upstream.update_summary():
        update_pool_admission(group, upstream)
        upstream.set_connection_limit(group.connection_limit)
        group.changed.notify()


def record_confirmed_positions(group: DatabaseGroup) -> None:
    """Record the confirmed position that the primary and each replica hold."""
    confirmations = group.confirmations
    if not confirmations.confirmed_offset:
        return
    primary_name = confirmations.primary_name or ""
    offsets = {
        **confirmations.held_offsets,
        primary_name: confirmations.confirmed_offset,
    }
    for name, offset in offsets.items():
        upstream = group.upstreams.get(name)
        if upstream is not None:
            confirmed_offset = min(offset, confirmations.confirmed_offset)
            upstream.confirmed_log.record_confirmed(
                LogPosition(confirmations.term, confirmed_offset)
            )


def handle_log_regression(group: DatabaseGroup, upstream: Upstream) -> None:
    """Handle the loss of an upstream's log, or its catching up again.

    Args:
        group: The group.
        upstream: The upstream.
    """
    if upstream.is_regressed:
        group.confirmations.discard_replica(upstream.name)
    log_decision(
        "upstream_regressed" if upstream.is_regressed else "upstream_caught_up",
        group=group.name,
        term=group.term,
        upstream=upstream.name,
        counted=str(upstream.confirmed_log.position),
        received=str(upstream.status.received) if upstream.status else "",
    )
    group.changed.notify()
