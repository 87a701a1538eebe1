"""A booking program that roams between proxies and never gives up."""

from __future__ import annotations

import asyncio
import random
from typing import LiteralString

import psycopg

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.load.attempt import Failure
from ebonyrack.load.attempt import Verdict
from ebonyrack.load.attempt import classify_error
from ebonyrack.load.proxy_connections import Connection
from ebonyrack.load.proxy_connections import ProxyConnections
from ebonyrack.load.proxy_connections import build_set
from ebonyrack.load.record import WorkloadRecord
from ebonyrack.load.workload_options import WorkloadOptions

INSERT: LiteralString = (
    "INSERT INTO reservations (slot, booker, request) VALUES (%s, %s, %s)"
)
SELECT: LiteralString = "SELECT slot, booker FROM reservations WHERE request = %s"
LIST: LiteralString = "SELECT slot FROM reservations ORDER BY slot DESC LIMIT 20"
TOKEN_PARAMETER = b"ebonyrack.token"
REPLAYED_PARAMETER = b"ebonyrack.replayed"
SERVED_BY: LiteralString = "SHOW ebonyrack.served_by"
KEPT_OWN = 200
RETRY_JITTER = 0.5


class BookingCaller:
    """One caller with a connection to each proxy, used in turn.

    Attributes:
        number: Number of the caller, in its request keys.
        options: How it behaves.
        record: Where it notes what it was told.
        random: Its own source of random choices.
        connections: Its connections to the proxies.
        own: Request keys of reservations that it knows as made.
        token: Last token received, if it hands tokens on.
        uses_token: Whether it hands tokens on.
        is_visitor: Whether it only reads.
        requests: Number of reservations asked for.
    """

    __slots__ = (
        "number",
        "options",
        "record",
        "random",
        "connections",
        "own",
        "token",
        "uses_token",
        "is_visitor",
        "requests",
    )

    def __init__(
        self, number: int, options: WorkloadOptions, record: WorkloadRecord
    ) -> None:
        self.number = number
        self.options = options
        self.record = record
        self.random = random.Random(number)
        self.own: list[str] = []
        self.token = ""
        self.uses_token = self.random.random() < options.token_share
        self.is_visitor = self.random.random() < options.visitor_share
        self.requests = 0
        visitor_age = options.visitor_age if self.is_visitor else ""
        self.connections = ProxyConnections(options, self.random, visitor_age)

    async def run(self, stop_s: float, give_up_s: float) -> None:
        """Reserve and read until it is time to stop.

        Args:
            stop_s: Monotonic time after which no new operation starts.
            give_up_s: Monotonic time after which a request counts as unfinished.
        """
        try:
            while now_s() < stop_s:
                await self.step(give_up_s)
                if self.options.think_s:
                    await asyncio.sleep(
                        self.random.expovariate(1 / self.options.think_s)
                    )
        finally:
            await self.connections.close()

    async def step(self, give_up_s: float) -> None:
        """Do one operation."""
        if self.is_visitor:
            await self.repeat_read("", None, give_up_s)
            return
        if not self.own or self.random.random() < self.options.write_share:
            proxy = await self.reserve(give_up_s)
            if proxy is not None:
                await self.repeat_read(self.own[-1], proxy, give_up_s)
            return
        await self.repeat_read(self.random.choice(self.own), None, give_up_s)

    async def reserve(self, give_up_s: float) -> Address | None:
        """Reserve a slot, with as many attempts as it takes.

        Args:
            give_up_s: Monotonic time after which it counts as unfinished.

        Returns:
            The proxy that acknowledged it, or None.
        """
        self.requests += 1
        key = f"{self.options.run_id}-{self.number}-{self.requests}"
        slot = next(self.record.slots)
        started_s = now_s()
        all_refused = True
        proxy: Address | None = None
        while now_s() < give_up_s:
            proxy = self.connections.choose(proxy)
            failure = await self.attempt_reserve(proxy, key, slot, all_refused)
            if failure is None or failure.verdict is Verdict.RAN:
                self.note_acknowledged(key, slot, started_s)
                return proxy
            self.record.note_failure(failure)
            if failure.verdict is Verdict.FINAL:
                self.record.refused.add(key)
                return None
            all_refused = all_refused and failure.verdict is Verdict.REFUSED
            await self.pause(failure)
        self.record.unfinished.add(key)
        return None

    def note_acknowledged(self, key: str, slot: int, started_s: float) -> None:
        """Note a reservation that was told as made."""
        present_s = now_s()
        self.record.acknowledged[key] = slot
        self.record.acknowledged_s.append(present_s)
        self.record.write_latencies_s.append(present_s - started_s)
        self.record.attempts["acknowledged"] += 1
        self.own = [*self.own[-KEPT_OWN:], key]

    async def attempt_reserve(
        self, proxy: Address, key: str, slot: int, all_refused: bool
    ) -> Failure | None:
        """Make one attempt to reserve; None means that it was acknowledged."""
        is_sent = False
        try:
            async with asyncio.timeout(self.options.attempt_timeout_s):
                connection = await self.connections.open(proxy)
                if self.options.use_keys:
                    await connection.execute(build_set("idempotency_key", key))
                is_sent = True
                self.record.attempted_s.append(now_s())
                await connection.execute(INSERT, (slot, f"caller-{self.number}", key))
        except (psycopg.Error, OSError, TimeoutError) as error:
            await self.connections.drop_if_broken(proxy, error)
            return classify_error(error, is_sent)
        self.check_replayed(connection, key, all_refused)
        self.take_token(connection)
        return None

    def check_replayed(
        self, connection: Connection, key: str, all_refused: bool
    ) -> None:
        """Find a refusal that said `not run` although the request ran."""
        replayed = connection.pgconn.parameter_status(REPLAYED_PARAMETER)
        if all_refused and replayed == b"on":
            self.record.untrue_refusals += 1
            self.record.note_example(f"{key} ran although each answer said no")

    def take_token(self, connection: Connection) -> None:
        """Keep the token that came with an answer."""
        token = connection.pgconn.parameter_status(TOKEN_PARAMETER)
        if self.uses_token and token:
            self.token = token.decode()

    async def repeat_read(
        self, key: str, written_at: Address | None, give_up_s: float
    ) -> None:
        """Read through another proxy than the last one until there is an answer.

        Args:
            key: Request key of a reservation, or an empty string for the list.
            written_at: Proxy that acknowledged it, if it was just made.
            give_up_s: Monotonic time after which the read is given up.
        """
        proxy = written_at
        started_s = now_s()
        while now_s() < give_up_s:
            proxy = self.connections.choose(proxy)
            try:
                async with asyncio.timeout(self.options.attempt_timeout_s):
                    await self.read_once(proxy, key, started_s)
                return
            except (psycopg.Error, OSError, TimeoutError) as error:
                await self.connections.drop_if_broken(proxy, error)
                failure = classify_error(error, is_sent=False)
                self.record.failures[f"read {failure.sqlstate or 'connection'}"] += 1
                await self.pause(failure)

    async def read_once(self, proxy: Address, key: str, started_s: float) -> None:
        """Read a reservation and note whether it was there."""
        connection = await self.connections.open(proxy)
        if self.token:
            await connection.execute(build_set("token", self.token))
        if key:
            cursor = await connection.execute(SELECT, (key,))
        else:
            cursor = await connection.execute(LIST)
        rows = await cursor.fetchall()
        self.record.read_latencies_s.append(now_s() - started_s)
        self.record.reads += 1
        is_stale = bool(key) and not rows
        self.record.stale_reads += is_stale
        if is_stale or self.random.random() < self.options.sample_share:
            served_by = await self.note_served(connection)
            if is_stale:
                self.record.note_example(f"{key} missing at {served_by} by {proxy}")

    async def note_served(self, connection: Connection) -> str:
        """Ask which upstream served last, and count its role."""
        cursor = await connection.execute(SERVED_BY)
        answer = await cursor.fetchone()
        served_by = str(answer[0]) if answer else ""
        self.record.served[served_by.rpartition(" ")[2]] += 1
        return served_by

    async def pause(self, failure: Failure) -> None:
        """Wait as long as the refusal says, with some jitter, or a fixed time."""
        if self.options.fixed_retry_s is not None:
            await asyncio.sleep(self.options.fixed_retry_s)
            return
        jitter = 1 + RETRY_JITTER * self.random.random()
        await asyncio.sleep(failure.retry_after_s * jitter)
