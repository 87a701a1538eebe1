"""A scripted upstream for tests of connections and pools."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import AsyncIterator

import pytest
from pygwire.messages import AuthenticationOk
from pygwire.messages import AuthenticationSASL
from pygwire.messages import AuthenticationSASLContinue
from pygwire.messages import AuthenticationSASLFinal
from pygwire.messages import BackendKeyData
from pygwire.messages import CommandComplete
from pygwire.messages import DataRow
from pygwire.messages import ErrorResponse
from pygwire.messages import FieldDescription
from pygwire.messages import ReadyForQuery
from pygwire.messages import RowDescription
from pygwire.messages import SASLInitialResponse
from pygwire.messages import SASLResponse
from scramp import ScramMechanism

from ebonyrack.core.address import Address

CANCEL_CODE = 80877102


def build_error(sqlstate: str) -> bytes:
    """Build an ErrorResponse with a SQLSTATE."""
    fields = {"S": "ERROR", "V": "ERROR", "C": sqlstate, "M": "scripted"}
    return ErrorResponse(fields=fields).to_wire()


def build_response(value: str, status: bytes = b"I") -> bytes:
    """Build the complete response to a query that returns one value."""
    return (
        RowDescription(fields=[FieldDescription(name="value")]).to_wire()
        + DataRow(columns=[value.encode()]).to_wire()
        + CommandComplete(tag="SELECT 1").to_wire()
        + ReadyForQuery().to_wire()[:-1]
        + status
    )


class FakeUpstream:
    """Accepts sessions and replies to simple queries as scripted by the test.

    Attributes:
        password: Password required by SCRAM; empty for trust authentication.
        signs_correctly: Whether its SCRAM server signature is valid.
        limit: Maximum number of concurrent sessions; more are rejected with 53300.
        responses: Raw response by query text; other queries are echoed as a value.
        silent: Queries that never get a reply.
        cancels: Process ids of the received cancel requests.
        queries: Texts of the received queries, in order.
        peak_sessions: Largest number of concurrent sessions.
    """

    def __init__(self) -> None:
        self.password = ""
        self.signs_correctly = True
        self.limit = 1000
        self.responses: dict[str, bytes] = {}
        self.silent: set[str] = set()
        self.cancels: list[int] = []
        self.queries: list[str] = []
        self.peak_sessions = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.opened = 0
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        """The address on which it listens."""
        assert self.server is not None
        return Address(*self.server.sockets[0].getsockname()[:2])

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Stop listening and abort every session."""
        assert self.server is not None
        self.server.close()
        self.drop_sessions()
        await self.server.wait_closed()

    def drop_sessions(self) -> None:
        """Abort every session."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            (length,) = struct.unpack("!I", await reader.readexactly(4))
            payload = await reader.readexactly(length - 4)
            if struct.unpack_from("!I", payload)[0] == CANCEL_CODE:
                self.cancels.append(struct.unpack_from("!I", payload, 4)[0])
                return
            if len(self.writers) >= self.limit:
                writer.write(build_error("53300"))
                return
            self.writers.add(writer)
            self.opened += 1
            self.peak_sessions = max(self.peak_sessions, len(self.writers))
            await self.serve_session(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Authenticate and reply to queries until the session ends."""
        if self.password:
            await self.authenticate(reader, writer)
        writer.write(AuthenticationOk().to_wire())
        key = BackendKeyData(process_id=self.opened, secret_key=b"4444")
        writer.write(key.to_wire() + ReadyForQuery().to_wire())
        while True:
            kind, payload = await self.read(reader)
            if kind != b"Q":
                continue
            sql = payload[:-1].decode()
            self.queries.append(sql)
            if sql not in self.silent:
                writer.write(self.responses.get(sql, build_response(sql)))

    async def authenticate(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Run the server side of SCRAM."""
        mechanism = ScramMechanism()
        secret = mechanism.make_auth_info(self.password)
        server = mechanism.make_server(lambda user: secret)
        writer.write(AuthenticationSASL(mechanisms=["SCRAM-SHA-256"]).to_wire())
        _, payload = await self.read(reader)
        first = SASLInitialResponse.decode(memoryview(payload))
        server.set_client_first(first.data.decode())
        data = server.get_server_first().encode()
        writer.write(AuthenticationSASLContinue(data=data).to_wire())
        _, payload = await self.read(reader)
        try:
            final = SASLResponse.decode(memoryview(payload))
            server.set_client_final(final.data.decode())
        except Exception:
            writer.write(build_error("28P01"))
            raise ConnectionError("wrong password") from None
        data = server.get_server_final().encode()
        if not self.signs_correctly:
            data = b"v=" + b"A" * 43 + b"="
        writer.write(AuthenticationSASLFinal(data=data).to_wire())

    async def read(self, reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
        """Read one message."""
        kind, length = struct.unpack("!cI", await reader.readexactly(5))
        return kind, await reader.readexactly(length - 4)


@pytest.fixture
async def upstream() -> AsyncIterator[FakeUpstream]:
    """A scripted upstream that is listening."""
    fake = FakeUpstream()
    await fake.start()
    try:
        yield fake
    finally:
        await fake.stop()
