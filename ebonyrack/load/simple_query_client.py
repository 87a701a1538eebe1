"""A minimal PostgreSQL client for measurements with many callers."""

from __future__ import annotations

import asyncio
import struct

from pygwire.messages import Query
from pygwire.messages import StartupMessage
from pygwire.messages import Terminate

from ebonyrack.core.address import Address
from ebonyrack.core.component import Component

HEADER = struct.Struct("!cI")
READY = b"Z"
ERROR = b"E"
DATA_ROW = b"D"
LENGTH_BYTES = 4
READ_LIMIT = 65536


class SimpleQueryError(Exception):
    """The server refused the startup, or the connection was lost."""


class SimpleQueryClient(Component):
    """A connection without a password that sends simple queries.

    Attributes:
        address: Address of the server.
        database: Name of the database.
        user: User name.
        error: Body of the ErrorResponse to the last query, or empty.
        rows: Number of rows that the last query returned.
    """

    __slots__ = ("address", "database", "user", "error", "rows", "reader", "writer")

    def __init__(
        self, address: Address, database: str = "booking", user: str = "booking"
    ) -> None:
        self.address = address
        self.database = database
        self.user = user
        self.error = b""
        self.rows = 0
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def start(self) -> None:
        """Open the connection."""
        await self.open()

    async def stop(self) -> None:
        """Close the connection."""
        self.close()

    async def open(self) -> None:
        """Connect and start a session.

        Raises:
            SimpleQueryError: If the server refuses the startup or requires a password,
                or if the connection is lost.
        """
        self.reader, self.writer = await asyncio.open_connection(
            self.address.host, self.address.port, limit=READ_LIMIT
        )
        params = {"user": self.user, "database": self.database}
        self.writer.write(StartupMessage(params).to_wire())
        await self.read_reply()
        if self.error:
            raise SimpleQueryError(self.error.decode(errors="replace"))

    async def query(self, sql: str) -> bool:
        """Run a simple query.

        Args:
            sql: The statement.

        Returns:
            Whether it succeeded.

        Raises:
            SimpleQueryError: If the connection is lost.
        """
        return await self.send(Query(sql).to_wire())

    async def send(self, frame: bytes) -> bool:
        """Send an encoded query; return whether it succeeded."""
        self.writer.write(frame)
        await self.read_reply()
        return not self.error

    async def read_reply(self) -> None:
        """Read messages up to the next ReadyForQuery.

        Raises:
            SimpleQueryError: If the connection is lost.
        """
        self.error = b""
        self.rows = 0
        try:
            while True:
                header = await self.reader.readexactly(HEADER.size)
                kind, length = HEADER.unpack(header)
                body = await self.reader.readexactly(length - LENGTH_BYTES)
                if kind == READY:
                    return
                if kind == ERROR:
                    self.error = body
                elif kind == DATA_ROW:
                    self.rows += 1
        except (asyncio.IncompleteReadError, OSError) as error:
            raise SimpleQueryError(repr(error) + repr(self.error)) from error

    def close(self) -> None:
        """Send Terminate and close the connection."""
        self.writer.write(Terminate().to_wire())
        self.writer.close()
