"""Startup of a caller's connection: encryption requests, startup message, login."""

from __future__ import annotations

import ipaddress
import re
import struct
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from pygwire.constants import StartupRequestCode
from pygwire.exceptions import PygwireError
from pygwire.messages import AuthenticationOk
from pygwire.messages import CancelRequest
from pygwire.messages import NegotiateProtocolVersion
from pygwire.messages import StartupMessage

from ebonyrack.callers.authentication import check_password
from ebonyrack.callers.authentication import make_dummy_verifier
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.verifier import parse_verifier

if TYPE_CHECKING:
    from ebonyrack.callers.stream import CallerStream
    from ebonyrack.config.document import Document
    from ebonyrack.config.sections import ApplicationSection
    from ebonyrack.core.settings import ProxySettings

REQUEST_CODE = struct.Struct("!I")
LENGTH_BYTES = 4
ENCRYPTION_REFUSED = b"N"
# SSLRequest and GSSEncRequest may come once each before the startup message.
MAXIMUM_ENCRYPTION_REQUESTS = 2
PROTOCOL_MAJOR = 3
CONTROL_PARAMETERS = frozenset({"user", "database", "options", "replication"})
OPTION_PATTERN = re.compile(r"(?:-c\s*|--)([^=\s]+)=((?:\\.|\S)*)")


@dataclass(slots=True)
class CallerIdentity:
    """Identity of a caller and the session that it requested.

    Attributes:
        application: Name of the application's section in the document.
        user: User name.
        group: Name of the requested database group.
        variables: Session variables and parameters given at startup.
    """

    application: str
    user: str
    group: str
    variables: dict[str, str] = field(default_factory=dict)


async def read_startup_request(
    stream: CallerStream,
) -> StartupMessage | CancelRequest | None:
    """Decline encryption requests and read the startup request.

    Args:
        stream: The caller's connection.

    Returns:
        The request, or None if the caller has disconnected.

    Raises:
        RequestError: BAD_REQUEST if the request is not valid.
    """
    for _ in range(MAXIMUM_ENCRYPTION_REQUESTS + 1):
        packet = await stream.read_startup()
        if packet is None:
            return None
        (code,) = REQUEST_CODE.unpack_from(packet, LENGTH_BYTES)
        if code in (StartupRequestCode.SSL_REQUEST, StartupRequestCode.GSSENC_REQUEST):
            # These bytes could be mistaken for part of an encrypted stream.
            if stream.buffer:
                raise RequestError(
                    ErrorKind.BAD_REQUEST,
                    "unexpected data after the encryption request",
                )
            stream.write(ENCRYPTION_REFUSED)
            continue
        return decode_startup(code, memoryview(packet)[LENGTH_BYTES:])
    raise RequestError(ErrorKind.BAD_REQUEST, "too many encryption requests")


def decode_startup(code: int, payload: memoryview) -> StartupMessage | CancelRequest:
    """Decode a startup message or a cancel request.

    Args:
        code: Protocol version or request code.
        payload: The packet without its length field.

    Returns:
        The request.

    Raises:
        RequestError: BAD_REQUEST if the packet can't be decoded.
    """
    try:
        if code == StartupRequestCode.CANCEL_REQUEST:
            return CancelRequest.decode(payload)
        if code >> 16 == PROTOCOL_MAJOR:
            return StartupMessage.decode(payload)
    except (PygwireError, struct.error, ValueError) as error:
        reason = "the startup message can't be decoded"
        raise RequestError(ErrorKind.BAD_REQUEST, reason) from error
    raise RequestError(ErrorKind.BAD_REQUEST, f"protocol {code >> 16} is not supported")


def negotiate_protocol(stream: CallerStream, message: StartupMessage) -> None:
    """Offer protocol 3.0 to a caller that requests a newer version or its options.

    Args:
        stream: The caller's connection.
        message: The startup message.
    """
    unknown = [name for name in message.params if name.startswith("_pq_.")]
    if message.protocol_version == StartupRequestCode.V3_0 and not unknown:
        return
    answer = NegotiateProtocolVersion(newest_minor=0, unrecognized=unknown)
    stream.write(answer.to_wire())


def parse_options(text: str) -> dict[str, str]:
    """Parse the `options` parameter, such as `-c ebonyrack.token=abc`.

    Args:
        text: Options as libpq sends them; a backslash escapes white space.

    Returns:
        Values by variable name.

    Raises:
        RequestError: UNSUPPORTED if the text contains anything else.
    """
    rest = OPTION_PATTERN.sub("", text).strip()
    if rest:
        raise RequestError(ErrorKind.UNSUPPORTED, f"startup option {rest!r}")
    return {
        match[1].replace("-", "_").lower(): re.sub(r"\\(.)", r"\1", match[2])
        for match in OPTION_PATTERN.finditer(text)
    }


def extract_variables(message: StartupMessage) -> dict[str, str]:
    """Extract the session variables from a startup message.

    Args:
        message: The startup message.

    Returns:
        Values by variable name in lower case.

    Raises:
        RequestError: UNSUPPORTED for options that can't be parsed.
    """
    variables = parse_options(message.params.get("options", ""))
    for name, value in message.params.items():
        if name not in CONTROL_PARAMETERS and not name.startswith("_pq_."):
            variables[name.lower()] = value
    return variables


async def authenticate(
    stream: CallerStream,
    message: StartupMessage,
    document: Document,
    settings: ProxySettings,
) -> CallerIdentity:
    """Authenticate a caller and check its access to the database group.

    Args:
        stream: The caller's connection.
        message: The startup message.
        document: The current document.
        settings: Settings of the proxy.

    Returns:
        The caller's identity.

    Raises:
        RequestError: AUTHENTICATION_FAILED, NOT_ALLOWED, UNKNOWN_GROUP,
            UNSUPPORTED or BAD_REQUEST.
    """
    user = message.params.get("user", "")
    if not user:
        raise RequestError(ErrorKind.BAD_REQUEST, "the startup message has no user")
    if message.params.get("replication", "false") not in ("false", "off", "0"):
        raise RequestError(ErrorKind.UNSUPPORTED, "replication connection")
    name, application = find_application(document, user)
    if not is_trusted(stream, settings):
        await check_credentials(stream, application)
    if application is None:
        raise RequestError(ErrorKind.AUTHENTICATION_FAILED, "unknown user")
    identity = CallerIdentity(name, user, message.params.get("database", user))
    check_group_access(document, identity)
    identity.variables = extract_variables(message)
    stream.write(AuthenticationOk().to_wire())
    return identity


def check_group_access(document: Document, identity: CallerIdentity) -> None:
    """Check that the document permits a caller to use its database group.

    Args:
        document: The current document.
        identity: Identity of the caller.

    Raises:
        RequestError: UNKNOWN_GROUP or NOT_ALLOWED.
    """
    group = identity.group
    if group not in document.groups:
        raise RequestError(ErrorKind.UNKNOWN_GROUP, group)
    section = document.applications.get(identity.application)
    if section is None or section.user != identity.user or group not in section.groups:
        raise RequestError(ErrorKind.NOT_ALLOWED, f"{identity.user} in {group}")


def find_application(
    document: Document, user: str
) -> tuple[str, ApplicationSection | None]:
    """Find the application that a user belongs to.

    Args:
        document: The current document.
        user: User name.

    Returns:
        Name and section of the application, or an empty string and None.
    """
    for name, section in document.applications.items():
        if section.user == user:
            return name, section
    return "", None


async def check_credentials(
    stream: CallerStream, application: ApplicationSection | None
) -> None:
    """Check the caller's password.

    An unknown user goes through the same exchange, so that the answer does not
    reveal which users exist.

    Args:
        stream: The caller's connection.
        application: The application's section, or None.

    Raises:
        RequestError: AUTHENTICATION_FAILED.
    """
    verifier = make_dummy_verifier()
    if application is not None:
        try:
            verifier = parse_verifier(application.verifier)
        except ValueError as error:
            raise RequestError(ErrorKind.AUTHENTICATION_FAILED, str(error)) from error
    await check_password(stream, verifier)


def is_trusted(stream: CallerStream, settings: ProxySettings) -> bool:
    """Return whether a caller needs no password.

    Args:
        stream: The caller's connection.
        settings: Settings of the proxy.

    Returns:
        True only if the settings trust loopback and both ends are loopback addresses.
    """
    if not settings.trust_loopback_callers or stream.transport is None:
        return False
    ends = (
        stream.transport.get_extra_info("sockname"),
        stream.transport.get_extra_info("peername"),
    )
    return all(end and ipaddress.ip_address(end[0]).is_loopback for end in ends)
