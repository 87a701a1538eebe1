"""The operators' side of a link to a proxy."""

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
from ebonyrack.peers.link import PeerLostError
from ebonyrack.peers.link import dial
from ebonyrack.peers.member import Member
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.message import Message
from ebonyrack.peers.operator_messages import AuthenticateReply
from ebonyrack.peers.operator_messages import AuthenticateRequest

NO_ADDRESS = Address("0.0.0.0", 0)

Reply = TypeVar("Reply", bound=Message)


@dataclass(frozen=True, slots=True)
class ProxyAccess:
    """How the tool reaches the system.

    Attributes:
        proxies: Peer addresses of proxies, tried in turn.
        secret: Secret that all processes share.
        operator: Name of the operator.
        password: The operator's password, or empty.
        timeout_s: Seconds to wait for a reply.
    """

    proxies: tuple[Address, ...]
    secret: str
    operator: str
    password: str
    timeout_s: float


class ProxyClient(Component):
    """A link to the first proxy that answers: an async context manager.

    Attributes:
        access: How proxies are reached.
        link: The link; set while open.
    """

    __slots__ = ("access", "link")

    def __init__(self, access: ProxyAccess) -> None:
        self.access = access
        self.link: PeerLink | None = None

    async def start(self) -> None:
        """Open the link.

        Raises:
            CommandError: If no proxy answers.
        """
        reasons = []
        for address in self.access.proxies:
            try:
                self.link = await self.open_link(address)
                return
            except PeerLostError as error:
                reasons.append(f"{address}: {error.reason}")
        text = "no proxy answered: " + "; ".join(reasons)
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
        """Ask the proxy.

        Args:
            message: The request.
            reply_type: Type of the reply that is expected.
            timeout_s: Seconds to wait; the usual time if None.

        Returns:
            The reply.

        Raises:
            PeerLostError: If there is no such reply.
        """
        if self.link is None:
            raise PeerLostError("the link is not open")
        reply = await self.link.request(message, timeout_s or self.access.timeout_s)
        if not isinstance(reply, reply_type):
            raise PeerLostError(f"unexpected reply {type(reply).__name__}")
        return reply

    async def authenticate(self) -> None:
        """Prove the operator's identity, if there is a password.

        Raises:
            CommandError: If the proxy refuses.
        """
        if not self.access.password:
            return
        client = ScramClient([MECHANISM], self.access.operator, self.access.password)
        try:
            first = await self.exchange(client.get_client_first())
            client.set_server_first(first)
            client.set_server_final(await self.exchange(client.get_client_final()))
        except (PeerLostError, ScramException) as error:
            raise CommandError(ExitStatus.REFUSED, f"not let in: {error}") from error

    async def exchange(self, data: str) -> str:
        """Send one message of the SCRAM exchange and return the answer."""
        request = AuthenticateRequest(self.access.operator, data)
        reply = await self.request(request, AuthenticateReply)
        return reply.data


async def query_proxy(
    access: ProxyAccess, message: Message, reply_type: type[Reply]
) -> Reply:
    """Ask the first proxy that answers something that changes nothing.

    Args:
        access: How proxies are reached.
        message: The request.
        reply_type: Type of the reply that is expected.

    Returns:
        The reply.

    Raises:
        CommandError: If no proxy answers.
    """
    try:
        async with ProxyClient(access) as client:
            return await client.request(message, reply_type)
    except PeerLostError as error:
        raise CommandError(ExitStatus.UNREACHABLE, error.reason) from error
