"""Opens and closes the pools of a group's upstreams according to their state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from ebonyrack.core.clock import now_s

if TYPE_CHECKING:
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream


def update_pool_admission(group: DatabaseGroup, upstream: Upstream) -> None:
    """Open or close an upstream's pool for new requests, according to its state.

    Args:
        group: The group.
        upstream: The upstream.
    """
    is_primary = upstream.name == group.primary_name
    if upstream.is_leaving:
        group.leaving_since_s.setdefault(upstream.name, now_s())
    else:
        group.leaving_since_s.pop(upstream.name, None)
    if upstream.state == "lost":
        upstream.pool.stop_new_work()
        if not is_primary or upstream.refuses_connections:
            close_busy_connections(upstream)
    elif upstream.is_leaving and not is_primary:
        upstream.pool.stop_new_work()
    else:
        upstream.pool.resume_new_work()


def close_overdue_connections(group: DatabaseGroup, upstream: Upstream) -> None:
    """Close busy connections of an upstream that has been leaving for too long.

    Args:
        group: The group.
        upstream: An upstream of the group.
    """
    since_s = group.leaving_since_s.get(upstream.name)
    if since_s is None or not upstream.pool.busy:
        return
    if now_s() - since_s > group.section.leaving_limit_s:
        logger.bind(
            group=group.name,
            upstream=upstream.name,
            connections=len(upstream.pool.busy),
        ).warning("leaving_limit_passed")
        close_busy_connections(upstream)


def close_busy_connections(upstream: Upstream) -> None:
    """Close the connections that callers' requests use.

    Args:
        upstream: An upstream from which they can expect no reply.
    """
    for connection in tuple(upstream.pool.busy):
        connection.close()
