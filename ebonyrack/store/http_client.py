"""HTTP calls to the platform: time-outs, and what is known after a failure."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

import httpcore
from result import Err
from result import Ok
from result import Result

from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.store_response import StoreErrorKind

MAXIMUM_CONNECTIONS = 4
KEEPALIVE_S = 30.0
# Probes of TCP show within some seconds that a connection went silent for good, also
# one on which an answer is held back: the first probe, the next ones, their number.
PROBE_AFTER_S = 1
PROBE_INTERVAL_S = 1
PROBES = 2
# The same for bytes that stay unacknowledged, in milliseconds.
UNACKNOWLEDGED_MS = 2000
SocketOptions = tuple[tuple[int, int, int], ...]

KEEPALIVE_OPTIONS: SocketOptions = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
)


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One call.

    Attributes:
        method: HTTP method.
        target: Path and query, already quoted.
        body: Body of the request.
        headers: Headers besides those that the client adds.
        timeout_s: Seconds for connecting, and again for the answer.
        wait_s: Seconds for which the other side may hold the answer back.
    """

    method: str
    target: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    timeout_s: float = 1.0
    wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status, headers and body of an answer, whatever the status is."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class HttpClient(Component):
    """Connections to one address: an async context manager.

    A call that times out closes its connection, so that one which went silent is
    not used again.

    Attributes:
        address: Address of the service.
        socket_options: Options of each connection; `KEEPALIVE_OPTIONS` for those on
            which an answer may be held back for long.
        pool: HTTP connections; set while open.
    """

    __slots__ = ("address", "socket_options", "pool")

    def __init__(self, address: Address, socket_options: SocketOptions = ()) -> None:
        self.address = address
        self.socket_options = socket_options
        self.pool: httpcore.AsyncConnectionPool | None = None

    async def start(self) -> None:
        """Prepare for HTTP connections; each is made when it is needed."""
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=MAXIMUM_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_S,
            socket_options=self.socket_options,
        )

    async def stop(self) -> None:
        """Close the connections."""
        if self.pool is not None:
            await self.pool.aclose()
            self.pool = None

    async def send(self, call: HttpRequest) -> Result[HttpResponse, StoreError]:
        """Make one call and sort what may come back.

        Args:
            call: The call.

        Returns:
            The answer, or why there is none: UNREACHABLE if the call was surely not
            sent, UNKNOWN if it may have been carried out or still will be.
        """
        if self.pool is None:
            return Err(StoreError(StoreErrorKind.UNREACHABLE, "the client isn't open"))
        limits = dict.fromkeys(("connect", "write", "pool"), call.timeout_s)
        limits["read"] = call.timeout_s + call.wait_s
        try:
            async with asyncio.timeout(2 * call.timeout_s + call.wait_s):
                response = await self.pool.request(
                    call.method,
                    f"http://{self.address}{call.target}",
                    content=call.body,
                    headers=list(call.headers),
                    extensions={"timeout": limits},
                )
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ) as error:
            return Err(StoreError(StoreErrorKind.UNREACHABLE, repr(error)))
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return Err(StoreError(StoreErrorKind.UNKNOWN, repr(error)))
        except (httpcore.TimeoutException, TimeoutError) as error:
            return Err(StoreError(StoreErrorKind.UNKNOWN, repr(error)))
        headers = tuple(response.headers)
        return Ok(HttpResponse(response.status, headers, response.content))
