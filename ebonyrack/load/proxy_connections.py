"""One caller's connections to the proxies that it roams between."""

from __future__ import annotations

import random

import psycopg

from ebonyrack.core.address import Address
from ebonyrack.load.workload_options import WorkloadOptions

CONNECT_TIMEOUT_S = 3

Connection = psycopg.AsyncConnection[tuple[object, ...]]


class ProxyConnections:
    """A connection to each proxy, opened when it is first used.

    Attributes:
        options: How the caller reaches the proxies.
        random: The caller's source of random choices.
        maximum_age: Age that every read accepts, such as `2s`; empty for none.
        by_proxy: Open connections.
    """

    __slots__ = ("options", "random", "maximum_age", "by_proxy")

    def __init__(
        self, options: WorkloadOptions, source: random.Random, maximum_age: str
    ) -> None:
        self.options = options
        self.random = source
        self.maximum_age = maximum_age
        self.by_proxy: dict[Address, Connection] = {}

    def choose(self, other_than: Address | None) -> Address:
        """Choose a proxy, another one than given if there is one."""
        choices = [item for item in self.options.proxies if item != other_than]
        return self.random.choice(choices or list(self.options.proxies))

    async def open(self, proxy: Address) -> Connection:
        """Return the open connection to a proxy, or open one."""
        connection = self.by_proxy.get(proxy)
        if connection is None or connection.closed:
            connection = await psycopg.AsyncConnection.connect(
                host=proxy.host,
                port=proxy.port,
                user=self.options.user,
                password=self.options.password,
                dbname=self.options.database,
                sslmode="disable",
                gssencmode="disable",
                autocommit=True,
                connect_timeout=CONNECT_TIMEOUT_S,
            )
            self.by_proxy[proxy] = connection
            if self.maximum_age:
                await connection.execute(build_set("max_age", self.maximum_age))
        return connection

    async def open_all(self) -> None:
        """Open a connection to each proxy."""
        for proxy in self.options.proxies:
            await self.open(proxy)

    async def drop_if_broken(self, proxy: Address, error: Exception) -> None:
        """Forget a connection that broke or whose answer is still due."""
        connection = self.by_proxy.get(proxy)
        if connection is None:
            return
        if connection.closed or isinstance(error, TimeoutError):
            del self.by_proxy[proxy]
            await connection.close()

    async def close(self) -> None:
        """Close all connections."""
        for connection in self.by_proxy.values():
            await connection.close()
        self.by_proxy.clear()


def build_set(variable: str, value: str) -> bytes:
    """Build the statement that sets one of the proxy's variables."""
    escaped = value.replace("'", "''")
    return f"SET ebonyrack.{variable} = '{escaped}'".encode()
