"""The operators' client for the peer protocol of proxies."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

from scramp import ScramClient
from scramp import ScramException

from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.core.verifier import MECHANISM
from ebonyrack.ops.exit_status import CommandError
from ebonyrack.ops.exit_status import ExitStatus
from ebonyrack.peers.handshake import build_hello
from ebonyrack.peers.hub import OPERATOR_ROLE
from ebonyrack.peers.link import PeerLink
from ebonyrack.peers.link import dial
from ebonyrack.peers.member import Member
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.message import Message
from ebonyrack.peers.operator_messages import AuthenticateReply
from ebonyrack.peers.operator_messages import AuthenticateRequest
from ebonyrack.peers.request_link import PeerLostError

NO_ADDRESS = Address("0.0.0.0", 0)

Reply = TypeVar("Reply", bound=Message)


@dataclass(frozen=True, slots=True)
class ProxyAccess:
    """How the operators' tool connects to proxies.

    Attributes:
        proxies: Peer addresses of proxies, tried in turn.
        secret: Secret shared by all processes.
        operator: Name of the operator.
        password: The operator's password, or empty for no authentication.
        timeout_s: Seconds to wait for a reply.
    """

    proxies: tuple[Address, ...]
    secret: str
    operator: str
    password: str
    timeout_s: float


class ProxyClient(Component):
    """A link to the first reachable proxy: an async context manager.

    Attributes:
        access: How to connect to proxies.
        link: The link; set while open.
    """

    __slots__ = ("access", "link")

    def __init__(self, access: ProxyAccess) -> None:
        self.access = access
        self.link: PeerLink | None = None

    async def start(self) -> None:
        """Open a link to the first reachable proxy.

        Raises:
            CommandError: If no proxy is reachable.
        """
        reasons = []
        for address in self.access.proxies:
            try:
                self.link = await self.open_link(address)
                return
            except PeerLostError as error:
                reasons.append(f"{address}: {error.reason}")
        text = "no proxy is reachable: " + "; ".join(reasons)
        raise CommandError(ExitStatus.UNREACHABLE, text)

    async def stop(self) -> None:
        """Close the link."""
        if self.link is not None:
            await self.link.stop()

    async def open_link(self, address: Address) -> PeerLink:
        """Open a link to one proxy."""
        member = Member(self.access.operator, NO_ADDRESS, "", "", 0, MemberState.ALIVE)
        hello = build_hello(member, OPERATOR_ROLE)
        link = await dial(address, hello, self.access.secret)
        await link.start()
        return link

    async def request(
        self, message: Message, reply_type: type[Reply], timeout_s: float | None = None
    ) -> Reply:
        """Send a request to the proxy and wait for its reply.

        Args:
            message: The request.
            reply_type: Expected type of the reply.
            timeout_s: Seconds to wait; the timeout of `access` if None.

        Returns:
            The reply.

        Raises:
            PeerLostError: If no reply of this type arrives.
        """
        if self.link is None:
            raise PeerLostError("the link is not open")
        reply = await self.link.request(message, timeout_s or self.access.timeout_s)
        if not isinstance(reply, reply_type):
            raise PeerLostError(f"unexpected reply {type(reply).__name__}")
        return reply

    async def authenticate(self) -> None:
        """Authenticate the operator by SCRAM, if there is a password.

        Raises:
            CommandError: If authentication fails.
        """
        if not self.access.password:
            return
        client = ScramClient([MECHANISM], self.access.operator, self.access.password)
        try:
            server_first = await self.exchange(client.get_client_first())
            client.set_server_first(server_first)
            client.set_server_final(await self.exchange(client.get_client_final()))
        except (PeerLostError, ScramException) as error:
            raise CommandError(
                ExitStatus.REFUSED, f"authentication failed: {error}"
            ) from error

    async def exchange(self, data: str) -> str:
        """Send one message of the SCRAM exchange and return the proxy's message."""
        request = AuthenticateRequest(self.access.operator, data)
        reply = await self.request(request, AuthenticateReply)
        return reply.data


async def query_proxy(
    access: ProxyAccess, message: Message, reply_type: type[Reply]
) -> Reply:
    """Send a read-only request to the first reachable proxy.

    Args:
        access: How to connect to proxies.
        message: The request.
        reply_type: Expected type of the reply.

    Returns:
        The reply.

    Raises:
        CommandError: If no proxy replies.
    """
    try:
        async with ProxyClient(access) as client:
            return await client.request(message, reply_type)
    except PeerLostError as error:
        raise CommandError(ExitStatus.UNREACHABLE, error.reason) from error
