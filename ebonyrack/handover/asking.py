"""Asks the homes of groups, and keeps what is known of each home."""

from __future__ import annotations

import asyncio
import random

from msgspec import Struct
from msgspec import field
from result import Err

from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.tasks import end_tasks
from ebonyrack.core.tasks import start_loop
from ebonyrack.handover.statement_messages import FetchRows
from ebonyrack.handover.statement_messages import HandedAnswer
from ebonyrack.handover.statement_messages import HandedDeclined
from ebonyrack.handover.statement_messages import HandedStatement
from ebonyrack.handover.statement_messages import MoreRows
from ebonyrack.members.group import Group
from ebonyrack.peers.proxy_links import ProxyLinks
from ebonyrack.placing.homes import HomeLoad
from ebonyrack.placing.homes import order_homes

# A home that failed is asked last for this long; each further failure doubles it.
FIRST_AVOIDANCE_S = 0.25
MAXIMUM_AVOIDANCE_S = 4.0
# Interval between attempts to reach the homes that failed.
REVIVAL_INTERVAL_S = 0.5
# If no home of a group could be asked for this long, this proxy acts for itself.
OUT_OF_REACH_S = 2.0


class NoAnswer(Struct, frozen=True):
    """Why a home gave no answer to a statement.

    Attributes:
        may_have_run: Whether the statement may have been run.
        reason: What happened.
    """

    may_have_run: bool
    reason: str


class HomeState(Struct):
    """What is known of one home.

    Attributes:
        outstanding: Number of questions without an answer.
        failing_since_s: Time of the first failure since its last answer, or None.
        avoided_until_s: Time until which others are asked first.
        avoidance_s: Seconds for which it is avoided after the next failure.
    """

    outstanding: int = 0
    failing_since_s: float | None = None
    avoided_until_s: float = field(default=0.0)
    avoidance_s: float = FIRST_AVOIDANCE_S


class HomeAsker(Component):
    """Asks homes: an async context manager.

    Attributes:
        links: Links to the other proxies.
        data_centre: Data centre of this proxy.
        states: What is known of each home that was asked, by name.
        newest_version: Newest version of the routes that a home has used for this
            proxy; its work is served by no older one.
    """

    def __init__(self, links: ProxyLinks, data_centre: str) -> None:
        self.links = links
        self.data_centre = data_centre
        self.states: dict[str, HomeState] = {}
        self.newest_version = 0
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to look for homes that failed."""
        self.task = start_loop(self.revive_homes)

    async def stop(self) -> None:
        """Stop looking for homes."""
        await end_tasks([self.task])

    def list_homes(self, group: Group) -> list[str]:
        """Return the homes of a group in the order in which they are asked."""
        if group.homes is None:
            return []
        loads = []
        for name, entry in group.homes.homes.items():
            state = self.states.get(name, HomeState())
            loads.append(
                HomeLoad(
                    entry=entry,
                    is_near=entry.data_centre == self.data_centre,
                    is_linked=self.links.is_linked(name),
                    is_avoided=now_s() < state.avoided_until_s
                    or not self.links.is_reachable(name),
                    outstanding=state.outstanding,
                )
            )
        ordered = order_homes(loads, random.random)
        for load in loads:
            # A near home without a link is dialled while others serve.
            if load.is_near and not load.is_linked and not load.is_avoided:
                self.links.prepare(load.entry.name)
        return [load.entry.name for load in ordered]

    def is_in_reach(self, group: Group) -> bool:
        """Whether some home of a group answers, as far as is known."""
        if group.homes is None:
            return False
        for name in group.homes.homes:
            state = self.states.get(name)
            if state is None or state.failing_since_s is None:
                return True
            if now_s() - state.failing_since_s < OUT_OF_REACH_S:
                return True
        return False

    async def ask(
        self, home: str, question: HandedStatement, timeout_s: float
    ) -> HandedAnswer | NoAnswer:
        """Hand a statement to a home.

        Args:
            home: Name of the home.
            question: The statement.
            timeout_s: Seconds to wait for the answer.

        Returns:
            The answer with all rows, or why there is none.
        """
        state = self.states.setdefault(home, HomeState())
        state.outstanding += 1
        try:
            found = await self.links.ask(home, question, timeout_s)
            if isinstance(found, Err):
                self.record_failure(state)
                return NoAnswer(found.err_value.was_sent, found.err_value.reason)
            answer = found.ok_value
            if isinstance(answer, HandedDeclined):
                self.avoid(state)
                return NoAnswer(False, answer.reason)
            if not isinstance(answer, HandedAnswer):
                return NoAnswer(True, "not an answer to a statement")
            self.record_answer(state, answer)
            return await self.complete_rows(home, answer, timeout_s)
        finally:
            state.outstanding -= 1

    async def complete_rows(
        self, home: str, answer: HandedAnswer, timeout_s: float
    ) -> HandedAnswer | NoAnswer:
        """Fetch the rows that an answer had no room for."""
        number = answer.more_rows
        while number:
            found = await self.links.ask(home, FetchRows(number), timeout_s)
            more = found.ok_value if not isinstance(found, Err) else None
            if not isinstance(more, MoreRows):
                return NoAnswer(True, "the answer is not whole")
            answer.rows.extend(more.rows)
            number = more.more_rows
        return answer

    def record_answer(self, state: HomeState, answer: HandedAnswer) -> None:
        """Record that a home answers."""
        state.failing_since_s = None
        state.avoided_until_s = 0.0
        state.avoidance_s = FIRST_AVOIDANCE_S
        self.newest_version = max(self.newest_version, answer.version)

    def record_failure(self, state: HomeState) -> None:
        """Record that a home doesn't answer."""
        if state.failing_since_s is None:
            state.failing_since_s = now_s()
        self.avoid(state)

    def avoid(self, state: HomeState) -> None:
        """Ask other homes first for a while."""
        if now_s() < state.avoided_until_s:
            return
        state.avoided_until_s = now_s() + state.avoidance_s * random.uniform(0.8, 1.2)
        state.avoidance_s = min(2 * state.avoidance_s, MAXIMUM_AVOIDANCE_S)

    async def revive_homes(self) -> None:
        """Look for homes that failed and can be reached again, until cancelled."""
        while True:
            await asyncio.sleep(REVIVAL_INTERVAL_S)
            known = self.links.list_proxies()
            for name, state in list(self.states.items()):
                if name not in known and state.outstanding == 0:
                    del self.states[name]
                elif state.failing_since_s is None:
                    continue
                elif self.links.is_linked(name):
                    state.failing_since_s = None
                else:
                    self.links.prepare(name)
