"""A link between two authenticated processes of the PostgreSQL proxy."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from ebonyrack.core.address import Address
from ebonyrack.peers import messages  # noqa: F401 (registers the message types)
from ebonyrack.peers.frames import Traffic
from ebonyrack.peers.handshake import perform_handshake
from ebonyrack.peers.link_messages import Hello
from ebonyrack.peers.member import Member
from ebonyrack.peers.message import Message
from ebonyrack.peers.reply_messages import Failure
from ebonyrack.peers.request_link import HANDSHAKE_TIMEOUT_S
from ebonyrack.peers.request_link import PeerLostError
from ebonyrack.peers.request_link import RequestLink

Handler = Callable[["PeerLink", Message], Awaitable[Message | None]]


class PeerLink(RequestLink):
    """A link between processes that share a secret.

    Attributes:
        hello: Hello message of this side.
        secret: Secret that all processes share.
        handler: Called for each message that is not a reply.
        remote: Hello message of the other side, None before the handshake.
        operator: Name of the authenticated operator, or empty.
        is_unlinked: Whether it is closed only because a side no longer needs it.
    """

    __slots__ = (
        "hello",
        "secret",
        "handler",
        "remote",
        "operator",
        "is_unlinked",
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hello: Hello,
        is_dialler: bool,
        secret: str,
        handler: Handler,
        traffic: Traffic,
    ) -> None:
        super().__init__(reader, writer, is_dialler, traffic)
        self.hello = hello
        self.secret = secret
        self.handler = handler
        self.remote: Hello | None = None
        self.operator = ""
        self.is_unlinked = False

    async def perform_handshake(self) -> None:
        """Authenticate both sides."""
        self.remote = await perform_handshake(
            self, self.hello, self.is_dialler, self.secret
        )

    @property
    def peer_name(self) -> str:
        """Name of the other side, for logs; empty before the handshake."""
        return self.remote.member.name if self.remote is not None else ""

    @property
    def member(self) -> Member:
        """The other side's description of itself."""
        if self.remote is None:
            raise PeerLostError("the link is not open")
        return self.remote.member

    async def handle(self, message: Message) -> Message | None:
        """Pass a message to the handler."""
        return await self.handler(self, message)


async def reject_message(link: PeerLink, message: Message) -> Message | None:
    """Reject any message that arrives on a link that only sends requests."""
    return Failure("this side accepts no messages")


async def dial(
    address: Address,
    hello: Hello,
    secret: str,
    handler: Handler = reject_message,
    traffic: Traffic | None = None,
) -> PeerLink:
    """Open a connection; the link is not yet entered.

    Args:
        address: Where the other side listens.
        hello: Hello message of this side.
        secret: Secret that all processes share.
        handler: Called for each message that is not a reply.
        traffic: Counters to use.

    Returns:
        The link, to be entered as a context manager.

    Raises:
        PeerLostError: If the connection can't be made in time.
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(address.host, address.port)
    except (OSError, TimeoutError) as error:
        raise PeerLostError(f"can't connect to {address}: {error!r}") from error
    return PeerLink(reader, writer, hello, True, secret, handler, traffic or Traffic())
