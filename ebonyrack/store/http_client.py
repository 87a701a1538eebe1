"""HTTP client for the platform, with timeouts and classified failures."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import httpcore
from result import Err
from result import Ok
from result import Result

from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.core.socket_options import SocketOptions
from ebonyrack.store.store_response import StoreError
from ebonyrack.store.store_response import StoreErrorKind

MAXIMUM_CONNECTIONS = 4
IDLE_EXPIRY_S = 30.0


@dataclass(frozen=True, slots=True)
class HttpRequest:
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


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status, headers and body of a response with any status."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class HttpClient(Component):
    """HTTP client for one address: an async context manager.

    A request that times out closes its connection, so that a dead connection is not
    reused.

    Attributes:
        address: Address of the service.
        socket_options: Socket options of each connection; `KEEPALIVE_OPTIONS` if
            responses may be held back for long.
        pool: HTTP connection pool; None unless the client is open.
    """

    __slots__ = ("address", "socket_options", "pool")

    def __init__(self, address: Address, socket_options: SocketOptions = ()) -> None:
        self.address = address
        self.socket_options = socket_options
        self.pool: httpcore.AsyncConnectionPool | None = None

    async def start(self) -> None:
        """Open the connection pool; connections are made on demand."""
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=MAXIMUM_CONNECTIONS,
            keepalive_expiry=IDLE_EXPIRY_S,
            socket_options=self.socket_options,
        )

    async def stop(self) -> None:
        """Close the connections."""
        if self.pool is not None:
            await self.pool.aclose()
            self.pool = None

    async def send(self, request: HttpRequest) -> Result[HttpResponse, StoreError]:
        """Send a request and classify a failure.

        Args:
            request: The request.

        Returns:
            The response, or the error: UNREACHABLE if the request was certainly not
            sent, UNKNOWN if it may have taken effect or still may.
        """
        if self.pool is None:
            return Err(StoreError(StoreErrorKind.UNREACHABLE, "the client is not open"))
        limits = dict.fromkeys(("connect", "write", "pool"), request.timeout_s)
        limits["read"] = request.timeout_s + request.wait_s
        try:
            async with asyncio.timeout(2 * request.timeout_s + request.wait_s):
                response = await self.pool.request(
                    request.method,
                    f"http://{self.address}{request.target}",
                    content=request.body,
                    headers=list(request.headers),
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
