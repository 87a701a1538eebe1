"""Session tokens: log positions that a session has seen, signed by the proxy."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac

import msgpack

from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LogPosition

VERSION_PREFIX = "1."
SIGNATURE_BYTES = 16
# Limits the work for tokens of unknown origin.
MAXIMUM_TOKEN_CHARACTERS = 4096
MAXIMUM_POSITION_NUMBER = 2**63 - 1


def sign_body(key: bytes, body: bytes) -> bytes:
    """Return the signature of a token body.

    Args:
        key: Signing key shared by all proxies.
        body: Packed positions.
    """
    digest = hmac.new(key, VERSION_PREFIX.encode() + body, hashlib.sha256).digest()
    return digest[:SIGNATURE_BYTES]


def build_token(key: bytes, positions: dict[str, LogPosition]) -> str:
    """Build a session token.

    Args:
        key: Signing key shared by all proxies.
        positions: Positions that the session has seen, by group name.

    Returns:
        URL-safe text without padding.
    """
    entries = [
        (group, position.term, position.offset)
        for group, position in sorted(positions.items())
    ]
    body: bytes = msgpack.packb(entries)
    text = base64.urlsafe_b64encode(sign_body(key, body) + body).decode()
    return VERSION_PREFIX + text.rstrip("=")


def read_token(key: bytes, text: str) -> dict[str, LogPosition]:
    """Verify a token and return its positions.

    Args:
        key: Signing key shared by all proxies.
        text: The token sent by the caller.

    Returns:
        Positions by group name.

    Raises:
        RequestError: BAD_TOKEN if the token is not valid.
    """
    if not text.startswith(VERSION_PREFIX) or len(text) > MAXIMUM_TOKEN_CHARACTERS:
        raise RequestError(
            ErrorKind.BAD_TOKEN, "unknown token version or token too long"
        )
    data = decode_base64(text.removeprefix(VERSION_PREFIX))
    signature, body = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, sign_body(key, body)):
        raise RequestError(ErrorKind.BAD_TOKEN, "the signature does not match")
    return unpack_positions(body)


def decode_base64(text: str) -> bytes:
    """Decode the base64 text of a token.

    Args:
        text: URL-safe text without padding.

    Returns:
        Signature and body.

    Raises:
        RequestError: BAD_TOKEN if the text is not valid base64.
    """
    padded = text + "=" * (-len(text) % 4)
    try:
        data = base64.b64decode(padded, altchars=b"-_", validate=True)
    except (ValueError, binascii.Error):
        raise RequestError(ErrorKind.BAD_TOKEN, "not valid base64") from None
    return data


def unpack_positions(body: bytes) -> dict[str, LogPosition]:
    """Unpack the positions from a body whose signature was verified.

    Args:
        body: Packed positions.

    Returns:
        Positions by group name.

    Raises:
        RequestError: BAD_TOKEN if the positions are not valid, which is possible if
            another version of the proxy packed them.
    """
    positions: dict[str, LogPosition] = {}
    try:
        for group, term, offset in msgpack.unpackb(body):
            if not (
                0 <= term <= MAXIMUM_POSITION_NUMBER
                and 0 <= offset <= MAXIMUM_POSITION_NUMBER
            ):
                raise ValueError("term or offset out of range")
            positions[str(group)] = LogPosition(int(term), int(offset))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise RequestError(
            ErrorKind.BAD_TOKEN, "the positions are not valid"
        ) from error
    return positions
