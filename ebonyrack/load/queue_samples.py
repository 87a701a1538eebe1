"""Samples the proxies' queues through operators' status requests."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from ebonyrack.core.clock import now_s
from ebonyrack.core.tasks import end_tasks
from ebonyrack.load.context import ExperimentContext
from ebonyrack.ops.client import ProxyAccess
from ebonyrack.ops.client import ProxyClient
from ebonyrack.peers.operator_messages import StatusReply
from ebonyrack.peers.operator_messages import StatusRequest

SAMPLE_INTERVAL_S = 0.05
REPLY_TIMEOUT_S = 5.0
OPERATOR = "load"


@dataclass(frozen=True, slots=True)
class QueueSample:
    """Queue lengths of a group, summed over all proxies.

    Attributes:
        at_s: Monotonic time at which the last proxy had replied.
        waiting: Number of requests that wait for a connection.
        waiting_for_primary: Number of requests that wait until there is a primary.
        executing: Number of connections in use or being opened.
    """

    at_s: float
    waiting: int
    waiting_for_primary: int
    executing: int


def sum_queues(replies: list[StatusReply], group_name: str, at_s: float) -> QueueSample:
    """Sum the queue lengths that the proxies report for one group.

    Args:
        replies: Status replies of the proxies.
        group_name: Name of the group.
        at_s: Monotonic time of the sample.
    """
    groups = [reply.groups[group_name] for reply in replies]
    upstreams = [item for group in groups for item in group["upstreams"].values()]
    return QueueSample(
        at_s=at_s,
        waiting=sum(item["waiting"] for item in upstreams),
        waiting_for_primary=sum(group["waiting_for_primary"] for group in groups),
        executing=sum(item["busy"] for item in upstreams),
    )


@asynccontextmanager
async def sample_queues(context: ExperimentContext, samples: list[QueueSample]) -> Any:
    """Sample the queues periodically until the block ends.

    Args:
        context: Provides the peer addresses of the proxies.
        samples: List to which samples are appended.
    """
    async with AsyncExitStack() as stack:
        clients = []
        for address in context.peers:
            access = ProxyAccess(
                (address,), context.peer_secret, OPERATOR, "", REPLY_TIMEOUT_S
            )
            clients.append(await stack.enter_async_context(ProxyClient(access)))
        task = asyncio.create_task(run_sampling(clients, context, samples))
        try:
            yield
        finally:
            await end_tasks([task])


async def run_sampling(
    clients: list[ProxyClient], context: ExperimentContext, samples: list[QueueSample]
) -> None:
    """Sample the queues periodically until cancelled."""
    request = StatusRequest(False)
    while True:
        next_sample_s = now_s() + SAMPLE_INTERVAL_S
        replies = await asyncio.gather(
            *(client.request(request, StatusReply) for client in clients)
        )
        samples.append(sum_queues(list(replies), context.cluster.group, now_s()))
        await asyncio.sleep(max(0.0, next_sample_s - now_s()))
