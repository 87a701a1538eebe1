"""A scripted upstream for the tests of connections and pools."""

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
    """Build an ErrorResponse with a code."""
    fields = {"S": "ERROR", "V": "ERROR", "C": sqlstate, "M": "scripted"}
    return ErrorResponse(fields=fields).to_wire()


def build_answer(value: str, status: bytes = b"I") -> bytes:
    """Build the whole answer of a query with one value."""
    return (
        RowDescription(fields=[FieldDescription(name="value")]).to_wire()
        + DataRow(columns=[value.encode()]).to_wire()
        + CommandComplete(tag="SELECT 1").to_wire()
        + ReadyForQuery().to_wire()[:-1]
        + status
    )


class FakeUpstream:
    """Accepts sessions and answers each simple query as the test says.

    Attributes:
        password: Password to ask for by SCRAM, or an empty string to trust.
        proves_itself: Whether its proof of the password is valid.
        limit: Sessions accepted at a time; more are refused with 53300.
        answers: Query text to raw answer; other queries are echoed as a value.
        silent: Queries that are never answered.
        cancels: Process numbers of the cancel requests that came.
        queries: Query texts that came, in order.
        peak: Largest number of sessions at a time.
    """

    def __init__(self) -> None:
        self.password = ""
        self.proves_itself = True
        self.limit = 1000
        self.answers: dict[str, bytes] = {}
        self.silent: set[str] = set()
        self.cancels: list[int] = []
        self.queries: list[str] = []
        self.peak = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.opened = 0
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        """Where it listens."""
        assert self.server is not None
        return Address(*self.server.sockets[0].getsockname()[:2])

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Stop listening and drop every session."""
        assert self.server is not None
        self.server.close()
        self.drop_sessions()
        await self.server.wait_closed()

    def drop_sessions(self) -> None:
        """Break every session."""
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
            self.peak = max(self.peak, len(self.writers))
            await self.serve_session(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Authenticate and answer queries until the session ends."""
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
                writer.write(self.answers.get(sql, build_answer(sql)))

    async def authenticate(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Run SCRAM as the server."""
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
        if not self.proves_itself:
            data = b"v=" + b"A" * 43 + b"="
        writer.write(AuthenticationSASLFinal(data=data).to_wire())

    async def read(self, reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
        """Read one message."""
        kind, length = struct.unpack("!cI", await reader.readexactly(5))
        return kind, await reader.readexactly(length - 4)


@pytest.fixture
async def upstream() -> AsyncIterator[FakeUpstream]:
    """A scripted upstream that listens."""
    fake = FakeUpstream()
    await fake.start()
    try:
        yield fake
    finally:
        await fake.stop()
