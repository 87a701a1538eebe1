"""Session startup with an upstream: startup message and authentication."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from pygwire.messages import AuthenticationSASL
from pygwire.messages import AuthenticationSASLContinue
from pygwire.messages import AuthenticationSASLFinal
from pygwire.messages import BackendKeyData
from pygwire.messages import ErrorResponse
from pygwire.messages import SASLInitialResponse
from pygwire.messages import SASLResponse
from pygwire.messages import StartupMessage
from scramp import ScramClient
from scramp import ScramException

from ebonyrack.upstreams.transport import FrameTransport
from ebonyrack.upstreams.transport import Message
from ebonyrack.upstreams.transport import UpstreamLostError

MECHANISM = "SCRAM-SHA-256"
AUTHENTICATION_CODE = struct.Struct("!I")
CODE_OK = 0
CODE_SASL = 10
CODE_SASL_CONTINUE = 11
CODE_SASL_FINAL = 12
# Limits how many messages an upstream may send before ReadyForQuery.
MAXIMUM_STARTUP_MESSAGES = 200


def build_rejected_error(message: Message, step: str) -> UpstreamLostError:
    """Convert an ErrorResponse into the error that ends the connection.

    Args:
        message: The ErrorResponse.
        step: The step that failed.

    Returns:
        The error, with the upstream's SQLSTATE.
    """
    fields = ErrorResponse.decode(message.payload[:-1]).fields
    sqlstate = fields.get("C", "")
    text = fields.get("M", "")
    return UpstreamLostError(f"{step} rejected: {sqlstate} {text}", sqlstate)


async def read_startup_message(frames: FrameTransport) -> Message:
    """Read the next message of the startup phase, skipping notices and negotiation.

    Args:
        frames: The connection.

    Returns:
        The message.

    Raises:
        UpstreamLostError: If the upstream reports an error or disconnects.
    """
    for _ in range(MAXIMUM_STARTUP_MESSAGES):
        message = await frames.read_frame()
        if message.kind == b"E":
            raise build_rejected_error(message, "startup")
        if message.kind not in (b"N", b"v"):
            return message
    raise UpstreamLostError("the upstream does not finish its startup")


async def read_authentication(frames: FrameTransport, expected: int) -> memoryview:
    """Read the authentication message with a given code.

    Args:
        frames: The connection.
        expected: Code that the message must have.

    Returns:
        Its payload.

    Raises:
        UpstreamLostError: If a different message arrives.
    """
    message = await read_startup_message(frames)
    code = read_code(message)
    if code != expected:
        raise UpstreamLostError(f"authentication code {code}, expected {expected}")
    return message.payload


def read_code(message: Message) -> int:
    """Return the code of an authentication message.

    Args:
        message: Any message.

    Returns:
        The code.

    Raises:
        UpstreamLostError: If it is not an authentication message.
    """
    if message.kind != b"R" or len(message.payload) < AUTHENTICATION_CODE.size:
        raise UpstreamLostError(
            f"unexpected message {message.kind!r} during authentication"
        )
    (code,) = AUTHENTICATION_CODE.unpack_from(message.payload)
    return int(code)


async def authenticate(frames: FrameTransport, user: str, password: str) -> None:
    """Authenticate as the upstream requests.

    Trust and SCRAM-SHA-256 are supported. Clear text and MD5 are rejected, since they
    would reveal the password to whoever listens on the upstream's address.

    Args:
        frames: The connection, after the startup message.
        user: User name.
        password: Password; empty if the upstream uses trust authentication.

    Raises:
        UpstreamLostError: If authentication fails or another method is requested.
    """
    message = await read_startup_message(frames)
    code = read_code(message)
    if code == CODE_OK:
        return
    if code != CODE_SASL:
        raise UpstreamLostError(f"authentication method {code} is not supported")
    offer = AuthenticationSASL.decode(message.payload)
    if MECHANISM not in offer.mechanisms or not password:
        raise UpstreamLostError(f"cannot authenticate by {offer.mechanisms}")
    try:
        await exchange_scram(frames, user, password)
    except ScramException as error:
        raise UpstreamLostError(f"SCRAM failed: {error}") from error


async def exchange_scram(frames: FrameTransport, user: str, password: str) -> None:
    """Run SCRAM-SHA-256, also verifying the upstream's signature.

    Args:
        frames: The connection.
        user: User name.
        password: Password.

    Raises:
        ScramException: If the upstream does not prove that it knows the password.
        UpstreamLostError: If the upstream rejects the login or disconnects.
    """
    client = ScramClient([MECHANISM], user, password)
    first = client.get_client_first().encode()
    frames.write(SASLInitialResponse(mechanism=MECHANISM, data=first).to_wire())
    payload = await read_authentication(frames, CODE_SASL_CONTINUE)
    client.set_server_first(AuthenticationSASLContinue.decode(payload).data.decode())
    final = client.get_client_final().encode()
    frames.write(SASLResponse(data=final).to_wire())
    payload = await read_authentication(frames, CODE_SASL_FINAL)
    client.set_server_final(AuthenticationSASLFinal.decode(payload).data.decode())
    await read_authentication(frames, CODE_OK)


@dataclass(frozen=True, slots=True)
class StartupResult:
    """What an upstream reports during session startup.

    Attributes:
        key: Key for cancel requests.
        status: Transaction status.
        parameters: ParameterStatus messages.
    """

    key: BackendKeyData
    status: str
    parameters: tuple[Message, ...]


async def start_session(
    frames: FrameTransport, user: str, password: str, database: str
) -> StartupResult:
    """Start a session up to the first ReadyForQuery.

    Args:
        frames: A new connection.
        user: User name.
        password: Password.
        database: Database name.

    Returns:
        What the upstream reports about the session.

    Raises:
        UpstreamLostError: If the upstream rejects the session or disconnects.
    """
    names = {"user": user, "database": database, "client_encoding": "UTF8"}
    frames.write(StartupMessage(params=names).to_wire())
    await authenticate(frames, user, password)
    key = BackendKeyData()
    parameters: list[Message] = []
    for _ in range(MAXIMUM_STARTUP_MESSAGES):
        message = await read_startup_message(frames)
        if message.kind == b"K":
            key = BackendKeyData.decode(message.payload)
        elif message.kind == b"S":
            parameters.append(message)
        elif message.kind == b"Z":
            return StartupResult(key, chr(message.payload[0]), tuple(parameters))
        else:
            raise UpstreamLostError(
                f"unexpected message {message.kind!r} during startup"
            )
    raise UpstreamLostError("the upstream does not finish its startup")
