"""A caller of the booking workload, which switches proxies and retries failures."""

from __future__ import annotations

import asyncio
import random
from typing import LiteralString

import psycopg

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.load.attempt import Failure
from ebonyrack.load.attempt import RequestOutcome
from ebonyrack.load.attempt import classify_error
from ebonyrack.load.proxy_connections import Connection
from ebonyrack.load.proxy_connections import ProxyConnections
from ebonyrack.load.proxy_connections import build_set_statement
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
RETAINED_KEYS = 200
RETRY_JITTER = 0.5


class BookingCaller:
    """One caller with a connection to each proxy.

    Attributes:
        number: Number of the caller, part of its request keys.
        options: Behaviour of the caller.
        record: Record of the replies that all callers received.
        random: Random number generator, seeded with the caller's number.
        connections: Connections to the proxies.
        reserved_keys: Request keys of the last acknowledged reservations.
        token: Last session token received, if the caller uses tokens.
        uses_token: Whether the caller sends the last token with its reads.
        is_visitor: Whether the caller only reads.
        request_count: Number of reservations requested.
    """

    __slots__ = (
        "number",
        "options",
        "record",
        "random",
        "connections",
        "reserved_keys",
        "token",
        "uses_token",
        "is_visitor",
        "request_count",
    )

    def __init__(
        self, number: int, options: WorkloadOptions, record: WorkloadRecord
    ) -> None:
        self.number = number
        self.options = options
        self.record = record
        self.random = random.Random(number)
        self.reserved_keys: list[str] = []
        self.token = ""
        self.uses_token = self.random.random() < options.token_share
        self.is_visitor = self.random.random() < options.visitor_share
        self.request_count = 0
        visitor_age = options.visitor_age if self.is_visitor else ""
        self.connections = ProxyConnections(options, self.random, visitor_age)

    async def run(self, stop_at_s: float, deadline_s: float) -> None:
        """Reserve slots and read them back until it is time to stop.

        Args:
            stop_at_s: Monotonic time after which no new operation starts.
            deadline_s: Monotonic time after which a request counts as unfinished.
        """
        try:
            while now_s() < stop_at_s:
                await self.run_operation(deadline_s)
                if self.options.think_s:
                    await asyncio.sleep(
                        self.random.expovariate(1 / self.options.think_s)
                    )
        finally:
            await self.connections.close()

    async def run_operation(self, deadline_s: float) -> None:
        """Run one reservation or one read."""
        if self.is_visitor:
            await self.read_with_retries("", None, deadline_s)
            return
        if not self.reserved_keys or self.random.random() < self.options.write_share:
            proxy = await self.reserve(deadline_s)
            if proxy is not None:
                await self.read_with_retries(self.reserved_keys[-1], proxy, deadline_s)
            return
        await self.read_with_retries(
            self.random.choice(self.reserved_keys), None, deadline_s
        )

    async def reserve(self, deadline_s: float) -> Address | None:
        """Reserve a slot, retrying until an attempt succeeds or fails for good.

        Args:
            deadline_s: Monotonic time after which it counts as unfinished.

        Returns:
            The proxy that acknowledged it, or None.
        """
        self.request_count += 1
        key = f"{self.options.run_id}-{self.number}-{self.request_count}"
        slot = next(self.record.slot_numbers)
        started_s = now_s()
        all_refused = True
        proxy: Address | None = None
        while now_s() < deadline_s:
            proxy = self.connections.choose_proxy(proxy)
            failure = await self.attempt_reserve(proxy, key, slot, all_refused)
            if failure is None or failure.outcome is RequestOutcome.RAN:
                self.record_acknowledgement(key, slot, started_s)
                return proxy
            self.record.record_failure(failure)
            if failure.outcome is RequestOutcome.REFUSED_FINALLY:
                self.record.refused.add(key)
                return None
            all_refused = all_refused and failure.outcome is RequestOutcome.REFUSED
            await self.wait_before_retry(failure)
        self.record.unfinished.add(key)
        return None

    def record_acknowledgement(self, key: str, slot: int, started_s: float) -> None:
        """Record an acknowledged reservation."""
        current_s = now_s()
        self.record.acknowledged[key] = slot
        self.record.acknowledged_at_s.append(current_s)
        self.record.write_latencies_s.append(current_s - started_s)
        self.record.attempts["acknowledged"] += 1
        self.reserved_keys = [*self.reserved_keys[-RETAINED_KEYS:], key]

    async def attempt_reserve(
        self, proxy: Address, key: str, slot: int, all_refused: bool
    ) -> Failure | None:
        """Make one attempt to reserve a slot; return None if it was acknowledged."""
        is_sent = False
        try:
            async with asyncio.timeout(self.options.attempt_timeout_s):
                connection = await self.connections.get_or_open(proxy)
                if self.options.use_keys:
                    await connection.execute(
                        build_set_statement("idempotency_key", key)
                    )
                is_sent = True
                self.record.attempted_at_s.append(now_s())
                await connection.execute(INSERT, (slot, f"caller-{self.number}", key))
        except (psycopg.Error, OSError, TimeoutError) as error:
            await self.connections.close_if_broken(proxy, error)
            return classify_error(error, is_sent)
        self.check_replayed(connection, key, all_refused)
        self.store_token(connection)
        return None

    def check_replayed(
        self, connection: Connection, key: str, all_refused: bool
    ) -> None:
        """Record a refusal that wrongly reported that the request did not run."""
        replayed = connection.pgconn.parameter_status(REPLAYED_PARAMETER)
        if all_refused and replayed == b"on":
            self.record.untrue_refusals += 1
            self.record.add_example(f"{key} ran although every attempt was refused")

    def store_token(self, connection: Connection) -> None:
        """Keep the session token received with a reply."""
        token = connection.pgconn.parameter_status(TOKEN_PARAMETER)
        if self.uses_token and token:
            self.token = token.decode()

    async def read_with_retries(
        self, key: str, writing_proxy: Address | None, deadline_s: float
    ) -> None:
        """Read, retrying through another proxy each time, until there is a reply.

        Args:
            key: Request key of a reservation, or an empty string for the list.
            writing_proxy: Proxy that acknowledged the reservation, if it was just made.
            deadline_s: Monotonic time after which the read is given up.
        """
        proxy = writing_proxy
        started_s = now_s()
        while now_s() < deadline_s:
            proxy = self.connections.choose_proxy(proxy)
            try:
                async with asyncio.timeout(self.options.attempt_timeout_s):
                    await self.read_once(proxy, key, started_s)
                return
            except (psycopg.Error, OSError, TimeoutError) as error:
                await self.connections.close_if_broken(proxy, error)
                failure = classify_error(error, is_sent=False)
                self.record.failures[f"read {failure.sqlstate or 'connection'}"] += 1
                await self.wait_before_retry(failure)

    async def read_once(self, proxy: Address, key: str, started_s: float) -> None:
        """Read a reservation or the list, and record a stale read."""
        connection = await self.connections.get_or_open(proxy)
        if self.token:
            await connection.execute(build_set_statement("token", self.token))
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
            served_by = await self.record_serving_upstream(connection)
            if is_stale:
                self.record.add_example(f"{key} missing at {served_by} by {proxy}")

    async def record_serving_upstream(self, connection: Connection) -> str:
        """Query which upstream served the last read and count its role."""
        cursor = await connection.execute(SERVED_BY)
        row = await cursor.fetchone()
        served_by = str(row[0]) if row else ""
        self.record.served_by_role[served_by.rpartition(" ")[2]] += 1
        return served_by

    async def wait_before_retry(self, failure: Failure) -> None:
        """Wait for the failure's retry-after time with jitter, or for a fixed time."""
        if self.options.fixed_retry_s is not None:
            await asyncio.sleep(self.options.fixed_retry_s)
            return
        jitter = 1 + RETRY_JITTER * self.random.random()
        await asyncio.sleep(failure.retry_after_s * jitter)
