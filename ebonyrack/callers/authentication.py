"""SCRAM-SHA-256 authentication of callers by verifiers in the operators' document."""

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

MAXIMUM_PASSWORD_MESSAGE_BYTES = 4096
EMPTY_USER = ",n=,"
PLACEHOLDER_USER = ",n=caller,"
DUMMY_ITERATIONS = 4096
KEY_BYTES = 32
SALT_BYTES = 16


def make_dummy_verifier() -> Verifier:
    """Make a verifier that no password matches, for unknown users."""
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
        verifier: Verifier of the expected password.

    Raises:
        RequestError: AUTHENTICATION_FAILED, also if the caller disconnects.
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
        client_first = SASLInitialResponse.decode(await read_response(stream))
        if client_first.mechanism != MECHANISM:
            raise RequestError(
                ErrorKind.AUTHENTICATION_FAILED, "unknown SASL mechanism"
            )
        set_client_first(server, client_first.data.decode())
        server_first = server.get_server_first().encode()
        stream.write(AuthenticationSASLContinue(data=server_first).to_wire())
        client_final = SASLResponse.decode(await read_response(stream))
        server.set_client_final(bytes(client_final.data).decode())
        server_final = server.get_server_final().encode()
    except (ScramException, PygwireError, ValueError, IndexError) as error:
        raise RequestError(
            ErrorKind.AUTHENTICATION_FAILED, "SCRAM exchange failed"
        ) from error
    stream.write(AuthenticationSASLFinal(data=server_final).to_wire())


def set_client_first(server: ScramServer, message: str) -> None:
    """Pass the client-first message to scramp, with a placeholder for an empty user.

    PostgreSQL drivers leave the user name empty, because the startup message has it,
    but scramp rejects an empty name. The proof covers the message as it was sent.

    Args:
        server: Server side of the exchange.
        message: The client-first message.

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
        RequestError: AUTHENTICATION_FAILED for any other message or a lost connection.
    """
    frame = await stream.read_frame(MAXIMUM_PASSWORD_MESSAGE_BYTES)
    if frame is None or frame.kind != b"p":
        raise RequestError(ErrorKind.AUTHENTICATION_FAILED, "no SASL response received")
    return memoryview(frame.raw)[HEADER_BYTES:]
