"""Samples of the proxies' queues, by the question that operators ask."""

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
ANSWER_TIMEOUT_S = 5.0
OPERATOR = "load"


@dataclass(frozen=True, slots=True)
class QueueSample:
    """What all proxies together held at one moment.

    Attributes:
        at_s: Monotonic time at which the last of them answered.
        waiting: Requests that wait for a connection.
        waiting_for_primary: Requests that wait until there is a primary.
        executing: Connections in use or being opened.
    """

    at_s: float
    waiting: int
    waiting_for_primary: int
    executing: int


def add_up(replies: list[StatusReply], group_name: str, at_s: float) -> QueueSample:
    """Add up what proxies hold for one group.

    Args:
        replies: The proxies' answers.
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
    """Add a sample to a list every 50 ms until the block ends.

    Args:
        context: Names the proxies' peer addresses.
        samples: Where samples go.
    """
    async with AsyncExitStack() as stack:
        clients = []
        for address in context.peers:
            access = ProxyAccess(
                (address,), context.peer_secret, OPERATOR, "", ANSWER_TIMEOUT_S
            )
            clients.append(await stack.enter_async_context(ProxyClient(access)))
        task = asyncio.create_task(keep_sampling(clients, context, samples))
        try:
            yield
        finally:
            await end_tasks([task])


async def keep_sampling(
    clients: list[ProxyClient], context: ExperimentContext, samples: list[QueueSample]
) -> None:
    """Sample until it is cancelled."""
    request = StatusRequest(False)
    while True:
        due_s = now_s() + SAMPLE_INTERVAL_S
        replies = await asyncio.gather(
            *(client.request(request, StatusReply) for client in clients)
        )
        samples.append(add_up(list(replies), context.cluster.group, now_s()))
        await asyncio.sleep(max(0.0, due_s - now_s()))
