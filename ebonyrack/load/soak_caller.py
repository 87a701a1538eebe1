"""A caller of the soak, which writes, reads back and checks the guarantees."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass
from dataclasses import field

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.load.soak_accounts import ACCOUNTS
from ebonyrack.load.soak_accounts import SentStatement
from ebonyrack.load.soak_accounts import SoakAccounts
from ebonyrack.load.soak_daemon import SoakDaemon
from ebonyrack.standins.line_system import LineCaller

REPLY_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.05
# Error codes which guarantee that the write was not stored.
NOT_STORED_CODES = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"}
)
# Share of requests that write, and share of writes that use a transaction.
WRITE_SHARE = 0.4
TRANSACTION_SHARE = 0.3
# Share of the sessions that are long, and their number of requests.
LONG_SHARE = 0.3
LONG_SESSION = 2000
# Ends of the values that are written: texts at which a reader may end, cut or trim a
# message, and one that is a message of its own.
VALUE_ENDS = (
    "",
    "\nQUERY 5d WRITE foreign x",
    "\n",
    "\r",
    "\n\r",
    " two words ",
    "\t",
    "\x00",
    "\x85",
    "\u2028end",
    "\udcff",
)
# Share of the messages that are sent in pieces, and pause between two of them.
CUT_SHARE = 0.3
CUT_PAUSE_S = 0.002


@dataclass(slots=True)
class WriteLedger:
    """Outcomes of the writes of one caller to an item that only it writes.

    Attributes:
        item: Name of the item.
        number: Number of the last write.
        acknowledged: Values that were acknowledged, in order.
        unknown: Values with an unknown outcome.
        refused: Values that are guaranteed not to be stored.
        violations: Descriptions of violated guarantees.
        served: Number of requests served.
    """

    item: str
    number: int = 0
    acknowledged: list[str] = field(default_factory=list)
    unknown: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    served: int = 0

    def next_value(self) -> str:
        """Return a value that was never written before."""
        self.number += 1
        end = VALUE_ENDS[self.number % len(VALUE_ENDS)]
        return f"{self.item}-{self.number}{end}"

    def record_outcome(self, value: str, reply: list[str]) -> None:
        """Record the outcome of a write by its reply."""
        first = reply[0] if reply else ""
        if first.startswith("COMPLETE"):
            self.acknowledged.append(value)
            self.served += 1
        elif first.startswith("ERROR") and first.split(" ")[1] in NOT_STORED_CODES:
            self.refused.add(value)
        else:
            self.unknown.add(value)

    def check_read(self, reply: list[str], database: str) -> None:
        """Check that a read returns the last acknowledged value or an unknown one."""
        if not reply or not reply[0].startswith("DATAROW"):
            return
        self.served += 1
        value = reply[0].removeprefix("DATAROW ")
        last = self.acknowledged[-1] if self.acknowledged else "none"
        if value != last and value not in self.unknown:
            self.violations.append(
                f"{database} read {value!r} after {last!r} was acknowledged"
            )


class CuttingCaller(LineCaller):
    """A caller whose messages arrive in pieces now and then.

    Attributes:
        choices: Decides where messages are cut.
    """

    def __init__(self, address: Address, database: str, choices: random.Random) -> None:
        super().__init__(address, database)
        self.choices = choices

    async def send(self, data: bytes) -> None:
        """Send bytes, cut at random places or within the end of the message."""
        if self.choices.random() < CUT_SHARE:
            place = self.choices.choice((-1, self.choices.randrange(len(data))))
            await super().send(data[:place])
            await asyncio.sleep(CUT_PAUSE_S)
            data = data[place:]
        await super().send(data)


class SoakCaller:
    """Sends requests in sessions with randomly chosen proxies until cancelled.

    Attributes:
        daemons: The proxy processes.
        ledger: Outcomes of the caller's writes.
        random: Random number generator of the caller.
        cuts: Decides where its messages are cut.
        sent: Text of each statement that any caller sent, by its ID.
        accounts: Client accounts and their keys, or None.
        account: Name of its account.
    """

    __slots__ = (
        "daemons",
        "ledger",
        "random",
        "cuts",
        "sent",
        "accounts",
        "account",
    )

    def __init__(
        self,
        number: int,
        daemons: list[SoakDaemon],
        seed: int,
        sent: dict[str, str],
        accounts: SoakAccounts | None = None,
    ) -> None:
        self.daemons = daemons
        self.sent = sent
        self.accounts = accounts
        self.account = ACCOUNTS[number % len(ACCOUNTS)]
        self.ledger = WriteLedger(f"item{number}")
        self.random = random.Random(f"{seed} {number}")
        self.cuts = random.Random(f"{seed} {number} cuts")

    async def run(self) -> None:
        """Open one session after another until cancelled."""
        while True:
            daemon = self.random.choice(self.daemons)
            database = self.random.choice(["booking", "confirmation"])
            caller = CuttingCaller(daemon.address, database, self.cuts)
            if self.accounts is not None:
                caller.key = self.accounts.choose_key(self.account, self.random)
            with contextlib.suppress(OSError, TimeoutError):
                async with caller:
                    await self.use_session(caller)
            await asyncio.sleep(RETRY_PAUSE_S)

    async def use_session(self, caller: LineCaller) -> None:
        """Send some requests in a session; read only if the result can be checked."""
        if not caller.startup_reply.startswith("READY"):
            return
        # On `confirmation`, reads see the acknowledged writes of their own session, on
        # `booking` those of any session.
        can_check_reads = caller.database == "booking"
        for _ in range(self.choose_length()):
            if self.random.random() < WRITE_SHARE:
                can_check_reads = await self.write(caller) or can_check_reads
            elif can_check_reads:
                reply = await self.send_statement(caller, f"READ {self.ledger.item}")
                self.ledger.check_read(reply, caller.database)
            await asyncio.sleep(self.random.uniform(0, 0.02))

    def choose_length(self) -> int:
        """Return the number of requests of a session.

        With accounts, some sessions outlast their keys.
        """
        if self.accounts is not None and self.random.random() < LONG_SHARE:
            return LONG_SESSION
        return self.random.randint(1, 30)

    async def write(self, caller: LineCaller) -> bool:
        """Write once, maybe in a transaction; return whether it was acknowledged."""
        value = self.ledger.next_value()
        statement = f"WRITE {self.ledger.item} {value}"
        if self.random.random() >= TRANSACTION_SHARE:
            reply = await self.send_write(caller, statement, value)
            self.ledger.record_outcome(value, reply)
            return value in self.ledger.acknowledged[-1:]
        for text in ("BEGIN", statement):
            reply = await self.send_statement(caller, text)
            if not reply or not reply[0].startswith("COMPLETE"):
                self.ledger.refused.add(value)
                await self.send_statement(caller, "ROLLBACK")
                return False
        reply = await self.send_write(caller, "COMMIT", value)
        self.ledger.record_outcome(value, reply)
        return value in self.ledger.acknowledged[-1:]

    async def send_write(self, caller: LineCaller, text: str, value: str) -> list[str]:
        """Send a write or its commit; without a reply the outcome is unknown."""
        try:
            return await self.send_statement(caller, text)
        except (OSError, TimeoutError):
            self.ledger.unknown.add(value)
            raise

    async def send_statement(self, caller: LineCaller, text: str) -> list[str]:
        """Send a statement and return the lines of the reply.

        Returns:
            The lines; empty if the reply to a write or commit was incomplete.

        Raises:
            TimeoutError: If the reply takes longer than `REPLY_TIMEOUT_S`.
            ConnectionResetError: If another reply was incomplete.
        """
        sent_s = now_s()
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                reply = await caller.execute(text)
        finally:
            self.sent[caller.request_id] = text
            if self.accounts is not None:
                sent = SentStatement(caller.key, self.account, sent_s)
                self.accounts.sent[caller.request_id] = sent
        if not reply or not reply[-1].startswith("READY"):
            if text.startswith(("WRITE", "COMMIT")):
                return []
            raise ConnectionResetError("connection closed before the end of the reply")
        return reply
