"""SCRAM-SHA-256 towards callers, from the verifiers in the operators' document."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from pygwire.exceptions import PygwireError
from pygwire.messages import AuthenticationSASL
from pygwire.messages import AuthenticationSASLContinue
from pygwire.messages import AuthenticationSASLFinal
from pygwire.messages import SASLInitialResponse
from pygwire.messages import SASLResponse
from scramp import ScramException
from scramp import ScramMechanism
from scramp.core import ScramServer

from ebonyrack.callers.stream import HEADER_BYTES
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.verifier import MECHANISM
from ebonyrack.core.verifier import Verifier

if TYPE_CHECKING:
    from ebonyrack.callers.stream import CallerStream

MAXIMUM_PASSWORD_BYTES = 4096
EMPTY_USER = ",n=,"
PLACEHOLDER_USER = ",n=caller,"
DUMMY_ITERATIONS = 4096
KEY_BYTES = 32
SALT_BYTES = 16


def make_dummy_verifier() -> Verifier:
    """Make a verifier that no password fits, for users that are not known."""
    return Verifier(
        secrets.token_bytes(SALT_BYTES),
        secrets.token_bytes(KEY_BYTES),
        secrets.token_bytes(KEY_BYTES),
        DUMMY_ITERATIONS,
    )


async def check_password(stream: CallerStream, verifier: Verifier) -> None:
    """Run the SCRAM exchange with a caller.

    Args:
        stream: The caller's connection.
        verifier: What the password is checked against.

    Raises:
        RequestError: AUTHENTICATION_FAILED, also if the caller goes away.
    """
    server = ScramMechanism(MECHANISM).make_server(
        lambda _: (
            verifier.salt,
            verifier.stored_key,
            verifier.server_key,
            verifier.iterations,
        )
    )
    stream.write(AuthenticationSASL(mechanisms=[MECHANISM]).to_wire())
    try:
        first = SASLInitialResponse.decode(await read_response(stream))
        if first.mechanism != MECHANISM:
            raise RequestError(ErrorKind.AUTHENTICATION_FAILED, "unknown mechanism")
        set_client_first(server, first.data.decode())
        answer = server.get_server_first().encode()
        stream.write(AuthenticationSASLContinue(data=answer).to_wire())
        final = SASLResponse.decode(await read_response(stream))
        server.set_client_final(bytes(final.data).decode())
        proof = server.get_server_final().encode()
    except (ScramException, PygwireError, ValueError, IndexError) as error:
        raise RequestError(ErrorKind.AUTHENTICATION_FAILED, "wrong proof") from error
    stream.write(AuthenticationSASLFinal(data=proof).to_wire())


def set_client_first(server: ScramServer, message: str) -> None:
    """Hand over the client's first message, which may name no user.

    PostgreSQL's drivers leave the name empty, since the startup message has it;
    scramp takes no empty name. The proof covers the message as it was sent.

    Args:
        server: Server side of the exchange.
        message: The message.

    Raises:
        ScramException: If the message is not valid.
    """
    server.set_client_first(message.replace(EMPTY_USER, PLACEHOLDER_USER, 1))
    server.client_first_bare = message.split(",", 2)[2]


async def read_response(stream: CallerStream) -> memoryview:
    """Read the payload of a SASL response.

    Args:
        stream: The caller's connection.

    Returns:
        The payload.

    Raises:
        RequestError: AUTHENTICATION_FAILED if anything else comes.
    """
    frame = await stream.read_frame(MAXIMUM_PASSWORD_BYTES)
    if frame is None or frame.kind != b"p":
        raise RequestError(ErrorKind.AUTHENTICATION_FAILED, "no password message")
    return memoryview(frame.raw)[HEADER_BYTES:]
