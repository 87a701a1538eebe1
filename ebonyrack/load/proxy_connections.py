"""The connections of one caller to the proxies that it uses."""

from __future__ import annotations

import random

import psycopg

from ebonyrack.core.address import Address
from ebonyrack.load.workload_options import WorkloadOptions

CONNECT_TIMEOUT_S = 3

Connection = psycopg.AsyncConnection[tuple[object, ...]]


class ProxyConnections:
    """A connection to each proxy, opened on first use.

    Attributes:
        options: Addresses of the proxies and credentials.
        random: Random number generator of the caller.
        maximum_age: Maximum staleness of reads, such as `2s`; empty for none.
        by_proxy: Connections by address of the proxy.
    """

    __slots__ = ("options", "random", "maximum_age", "by_proxy")

    def __init__(
        self, options: WorkloadOptions, random_source: random.Random, maximum_age: str
    ) -> None:
        self.options = options
        self.random = random_source
        self.maximum_age = maximum_age
        self.by_proxy: dict[Address, Connection] = {}

    def choose_proxy(self, other_than: Address | None) -> Address:
        """Choose a random proxy, avoiding one if there are others."""
        choices = [item for item in self.options.proxies if item != other_than]
        return self.random.choice(choices or list(self.options.proxies))

    async def get_or_open(self, proxy: Address) -> Connection:
        """Return the connection to a proxy, opening it if there is none."""
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
                await connection.execute(
                    build_set_statement("max_age", self.maximum_age)
                )
        return connection

    async def open_all(self) -> None:
        """Open a connection to each proxy."""
        for proxy in self.options.proxies:
            await self.get_or_open(proxy)

    async def close_if_broken(self, proxy: Address, error: Exception) -> None:
        """Close a connection that was lost or whose reply is still outstanding."""
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


def build_set_statement(variable: str, value: str) -> bytes:
    """Build the statement that sets one of the proxy's variables."""
    escaped = value.replace("'", "''")
    return f"SET ebonyrack.{variable} = '{escaped}'".encode()
