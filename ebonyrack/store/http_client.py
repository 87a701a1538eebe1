"""HTTP client for the platform, with timeouts and classified failures."""

from __future__ import annotations

import asyncio

import h11
from msgspec import Struct
from result import Err
from result import Ok
from result import Result

from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.socket_options import SocketOptions
from ebonyrack.store.http_connection import HttpConnection
from ebonyrack.store.http_connection import HttpHeaders
from ebonyrack.store.http_connection import open_http_connection
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.store_response import StoreErrorKind

MAXIMUM_CONNECTIONS = 4
IDLE_EXPIRY_S = 30.0


class HttpRequest(Struct, frozen=True):
    """One HTTP request.

    Attributes:
        method: HTTP method.
        target: Path and query, already quoted.
        body: Body of the request.
        headers: Headers in addition to those that the client adds.
        timeout_s: Seconds for connecting, and again for the response.
        wait_s: Seconds for which the server may hold the response back.
    """

    method: str
    target: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    timeout_s: float = 1.0
    wait_s: float = 0.0


class HttpResponse(Struct, frozen=True):
    """Status, headers and body of a response with any status."""

    status: int
    headers: HttpHeaders
    body: bytes


class HttpClient(Component):
    """HTTP client for one address: an async context manager.

    A request that times out closes its connection, so that a dead connection is not
    reused.

    Attributes:
        address: Address of the service.
        socket_options: Socket options of each connection; `KEEPALIVE_OPTIONS` if
            responses may be held back for long.
        room: Limits the connections; None unless the client is open.
        idle: Idle connections and the monotonic time since which each is, the most
            recently used one last.
        busy: Connections in use.
    """

    __slots__ = ("address", "socket_options", "room", "idle", "busy")

    def __init__(self, address: Address, socket_options: SocketOptions = ()) -> None:
        self.address = address
        self.socket_options = socket_options
        self.room: asyncio.Semaphore | None = None
        self.idle: list[tuple[HttpConnection, float]] = []
        self.busy: set[HttpConnection] = set()

    async def start(self) -> None:
        """Allow requests; connections are made on demand."""
        self.room = asyncio.Semaphore(MAXIMUM_CONNECTIONS)

    async def stop(self) -> None:
        """Close the connections."""
        self.room = None
        for connection in [*self.busy, *(each for each, _ in self.idle)]:
            connection.close()
        self.idle.clear()

    async def send(self, request: HttpRequest) -> Result[HttpResponse, StoreError]:
        """Send a request and classify a failure.

        Args:
            request: The request.

        Returns:
            The response, or the error: UNREACHABLE if the request was certainly not
            sent, UNKNOWN if it may have taken effect or still may.
        """
        room = self.room
        if room is None:
            return Err(StoreError(StoreErrorKind.UNREACHABLE, "the client is not open"))
        try:
            async with asyncio.timeout(request.timeout_s):
                await room.acquire()
        except TimeoutError:
            reason = "all connections are in use"
            return Err(StoreError(StoreErrorKind.UNREACHABLE, reason))
        try:
            return await self.send_on_connection(request)
        finally:
            room.release()

    async def send_on_connection(
        self, request: HttpRequest
    ) -> Result[HttpResponse, StoreError]:
        """Send a request on an idle connection, or on a new one."""
        try:
            async with asyncio.timeout(request.timeout_s):
                connection = self.take_idle() or await open_http_connection(
                    self.address, self.socket_options
                )
        except (OSError, TimeoutError) as error:
            return Err(StoreError(StoreErrorKind.UNREACHABLE, repr(error)))
        self.busy.add(connection)
        try:
            async with asyncio.timeout(request.timeout_s + request.wait_s):
                response = await connection.exchange(
                    request.method,
                    request.target,
                    self.build_headers(request),
                    request.body,
                )
        except (OSError, h11.ProtocolError, TimeoutError) as error:
            return Err(StoreError(StoreErrorKind.UNKNOWN, repr(error)))
        finally:
            self.busy.discard(connection)
            self.keep_or_close(connection)
        return Ok(HttpResponse(*response))

    def build_headers(self, request: HttpRequest) -> list[tuple[str, str]]:
        """Return all headers of a request."""
        headers = [("Host", str(self.address)), *request.headers]
        if request.body or request.method == "POST":
            headers.append(("Content-Length", str(len(request.body))))
        return headers

    def take_idle(self) -> HttpConnection | None:
        """Take the most recently used idle connection that still works, or None."""
        expired_s = now_s() - IDLE_EXPIRY_S
        while self.idle:
            connection, since_s = self.idle.pop()
            if connection.is_reusable and since_s > expired_s:
                return connection
            connection.close()
        return None

    def keep_or_close(self, connection: HttpConnection) -> None:
        """Keep a connection whose exchange was completed; close any other."""
        if connection.is_reusable and self.room is not None:
            self.idle.append((connection, now_s()))
        else:
            connection.close()
