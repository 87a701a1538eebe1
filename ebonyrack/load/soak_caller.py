"""A caller of the soak: writes, reads back, and checks what it was promised."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass
from dataclasses import field

from ebonyrack.load.soak_daemon import SoakDaemon
from ebonyrack.standins.line_system import LineCaller

ANSWER_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.05
# Codes with which a refusal says that nothing was kept.
PROMISES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"})
# Share of the requests that write, and of those that do so in a transaction.
WRITE_SHARE = 0.4
TRANSACTION_SHARE = 0.3


@dataclass(slots=True)
class Ledger:
    """What one caller was told of its writes to one item, which nobody else writes.

    Attributes:
        item: The item.
        number: Number of the last write.
        acknowledged: Values that were acknowledged, in order.
        unknown: Values whose outcome is not known.
        refused: Values that were promised not to be kept.
        faults: What was found wrong.
        served: Requests that were served.
    """

    item: str
    number: int = 0
    acknowledged: list[str] = field(default_factory=list)
    unknown: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    faults: list[str] = field(default_factory=list)
    served: int = 0

    def next_value(self) -> str:
        """Return a value that was never written before."""
        self.number += 1
        return f"{self.item}-{self.number}"

    def note_answer(self, value: str, answer: list[str]) -> None:
        """Sort a write by its answer."""
        first = answer[0] if answer else ""
        if first.startswith("COMPLETE"):
            self.acknowledged.append(value)
            self.served += 1
        elif first.startswith("ERROR") and first.split()[1] in PROMISES:
            self.refused.add(value)
        else:
            self.unknown.add(value)

    def check_read(self, answer: list[str], where: str) -> None:
        """Check that a read shows the last acknowledged write, or an unknown one."""
        if not answer or not answer[0].startswith("DATAROW"):
            return
        self.served += 1
        value = answer[0].split()[1]
        last = self.acknowledged[-1] if self.acknowledged else "none"
        if value != last and value not in self.unknown:
            self.faults.append(f"{where} read {value} after {last} was acknowledged")


class SoakCaller:
    """Sends requests over sessions to any proxy until told to stop.

    Attributes:
        daemons: The proxies.
        ledger: What it was told.
        draws: Its own random numbers.
    """

    __slots__ = ("daemons", "ledger", "draws")

    def __init__(self, number: int, daemons: list[SoakDaemon], seed: int) -> None:
        self.daemons = daemons
        self.ledger = Ledger(f"item{number}")
        self.draws = random.Random(f"{seed} {number}")

    async def run(self) -> None:
        """Open sessions and use each until it ends, until cancelled."""
        while True:
            daemon = self.draws.choice(self.daemons)
            database = self.draws.choice(["booking", "confirmation"])
            caller = LineCaller(daemon.address, database)
            with contextlib.suppress(OSError, TimeoutError):
                async with caller:
                    await self.use_session(caller)
            await asyncio.sleep(RETRY_PAUSE_S)

    async def use_session(self, caller: LineCaller) -> None:
        """Use a session for some requests, each read after a write in it."""
        if not caller.startup_reply.startswith("READY"):
            return
        # A session of its own sees what it has done itself; on the other database
        # reads see what anybody has done.
        has_written = caller.database == "booking"
        for _ in range(self.draws.randint(1, 30)):
            if self.draws.random() < WRITE_SHARE:
                has_written = await self.write(caller) or has_written
            elif has_written:
                answer = await self.ask(caller, f"READ {self.ledger.item}")
                self.ledger.check_read(answer, caller.database)
            await asyncio.sleep(self.draws.uniform(0, 0.02))

    async def write(self, caller: LineCaller) -> bool:
        """Write once, alone or in a transaction; return whether it was acknowledged."""
        value = self.ledger.next_value()
        statement = f"WRITE {self.ledger.item} {value}"
        if self.draws.random() >= TRANSACTION_SHARE:
            answer = await self.ask_or_doubt(caller, statement, value)
            self.ledger.note_answer(value, answer)
            return value in self.ledger.acknowledged[-1:]
        for text in ("BEGIN", statement):
            answer = await self.ask(caller, text)
            if not answer or not answer[0].startswith("COMPLETE"):
                self.ledger.refused.add(value)
                await self.ask(caller, "ROLLBACK")
                return False
        answer = await self.ask_or_doubt(caller, "COMMIT", value)
        self.ledger.note_answer(value, answer)
        return value in self.ledger.acknowledged[-1:]

    async def ask_or_doubt(
        self, caller: LineCaller, text: str, value: str
    ) -> list[str]:
        """Ask; without an answer the outcome of the value is not known."""
        try:
            return await self.ask(caller, text)
        except (OSError, TimeoutError):
            self.ledger.unknown.add(value)
            raise

    async def ask(self, caller: LineCaller, text: str) -> list[str]:
        """Ask within a time; an answer that breaks off ends the session."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            answer = await caller.execute(text)
        if not answer or not answer[-1].startswith("READY"):
            if text.startswith(("WRITE", "COMMIT")):
                return []
            raise ConnectionResetError("the answer broke off")
        return answer
