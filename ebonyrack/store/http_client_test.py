"""A platform that is silent, closes connections or sends invalid responses."""

import asyncio

import pytest

from ebonyrack.core.address import Address
from ebonyrack.store.http_client import HttpClient
from ebonyrack.store.http_client import HttpRequest
from ebonyrack.store.store_response import StoreErrorKind

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Replies to each request with the next of the given bytes; None is silence."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.requests = []
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                reply = self.replies.pop(0)
                if reply is not None:
                    writer.write(reply)
                    if reply != RESPONSE:
                        return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


@pytest.fixture
async def start():
    running = []

    async def start_server(*replies):
        server = Server(replies)
        listening = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        running.append(listening)
        port = listening.sockets[0].getsockname()[1]
        return server, Address("127.0.0.1", port)

    yield start_server
    for listening in running:
        listening.close()


async def test_connection_is_reused(start):
    server, address = await start(RESPONSE, RESPONSE)
    async with HttpClient(address) as client:
        for _ in range(2):
            response = (await client.send(HttpRequest("GET", "/"))).ok_value
            assert (response.status, response.body) == (200, b"ok")
    assert server.connections == 1


async def test_write_is_never_sent_again(start):
    server, address = await start(None)
    async with HttpClient(address) as client:
        result = await client.send(HttpRequest("POST", "/", timeout_s=0.2))
    assert result.err_value.kind is StoreErrorKind.UNKNOWN
    assert len(server.requests) == 1


@pytest.mark.parametrize("reply", [b"nonsense\r\n\r\n", b"", b"HTTP/1.1 200 OK\r\n"])
async def test_invalid_response_is_an_unknown_outcome(start, reply):
    server, address = await start(reply, RESPONSE)
    async with HttpClient(address) as client:
        result = await client.send(HttpRequest("GET", "/"))
        assert result.err_value.kind is StoreErrorKind.UNKNOWN
        assert (await client.send(HttpRequest("GET", "/"))).ok_value.body == b"ok"


async def test_refused_connection_is_unreachable():
    async with HttpClient(Address("127.0.0.1", 1)) as client:
        result = await client.send(HttpRequest("GET", "/"))
    assert result.err_value.kind is StoreErrorKind.UNREACHABLE
