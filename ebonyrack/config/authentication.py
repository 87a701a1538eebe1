"""Authentication of operators on links."""

from __future__ import annotations

from typing import Any

from loguru import logger
from scramp import ScramException
from scramp import ScramMechanism

from ebonyrack.config.sections import OperatorSection
from ebonyrack.config.state import ConfigurationState
from ebonyrack.core.verifier import MECHANISM
from ebonyrack.core.verifier import parse_verifier
from ebonyrack.peers.hub import OPERATOR_ROLE
from ebonyrack.peers.hub import PeerHub
from ebonyrack.peers.link import PeerLink
from ebonyrack.peers.message import Message
from ebonyrack.peers.operator_messages import AuthenticateReply
from ebonyrack.peers.operator_messages import AuthenticateRequest
from ebonyrack.peers.reply_messages import Failure


class OperatorAuthentication:
    """Authenticates operators by SCRAM.

    Attributes:
        state: The document in force, with the operators' verifiers.
        exchanges: Unfinished SCRAM exchange of each link.
    """

    __slots__ = ("state", "exchanges")

    def __init__(self, state: ConfigurationState, hub: PeerHub) -> None:
        self.state = state
        self.exchanges: dict[PeerLink, Any] = {}
        hub.register_handler(AuthenticateRequest, self.authenticate)

    def find_operator(self, name: str) -> OperatorSection | None:
        """Return an operator's section of the document in force."""
        return self.state.document.operators.get(name)

    async def authenticate(
        self, link: PeerLink, message: AuthenticateRequest
    ) -> Message:
        """Handle one message of an operator's SCRAM exchange."""
        try:
            return AuthenticateReply(self.advance_exchange(link, message))
        except (ScramException, ValueError) as error:
            self.exchanges.pop(link, None)
            logger.bind(operator=message.operator, reason=str(error)).warning(
                "operator_refused"
            )
            return Failure("unknown operator or wrong password")

    def advance_exchange(self, link: PeerLink, message: AuthenticateRequest) -> str:
        """Advance an exchange and return the proxy's next message.

        Raises:
            ScramException: If the proof is wrong.
            ValueError: If there is no such operator.
        """
        self.remove_closed_exchanges()
        server = self.exchanges.pop(link, None)
        if server is None:
            server = self.start_exchange(message.operator)
            server.set_client_first(message.data)
            self.exchanges[link] = server
            answer: str = server.get_server_first()
            return answer
        server.set_client_final(message.data)
        answer = server.get_server_final()
        link.operator = message.operator
        return answer

    def remove_closed_exchanges(self) -> None:
        """Remove the exchanges of links that have ended."""
        for link in [link for link in self.exchanges if link.is_closed.is_set()]:
            del self.exchanges[link]

    def start_exchange(self, name: str) -> Any:
        """Start the server's side of an exchange with an operator."""
        operator = self.find_operator(name)
        verifier = parse_verifier(operator.verifier if operator is not None else "")
        keys = (
            verifier.salt,
            verifier.stored_key,
            verifier.server_key,
            verifier.iterations,
        )

        def find_keys(user: str) -> Any:
            if user != name:
                raise ValueError(f"user {user!r} is not operator {name!r}")
            return keys

        return ScramMechanism(MECHANISM).make_server(find_keys)

    def is_authenticated(self, link: PeerLink, name: str) -> bool:
        """Return whether the other side of a link is the operator with a name.

        If the document has no verifier for the name, the shared secret, which every
        link requires, suffices.
        """
        if link.remote is None or link.remote.role != OPERATOR_ROLE:
            return False
        operator = self.find_operator(name)
        if operator is None or not operator.verifier:
            return True
        return link.operator == name
