"""Session tokens: the positions that a session has seen, signed by the proxies."""

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
# Bounds the work for a token that anyone may send.
MAXIMUM_CHARACTERS = 4096
MAXIMUM_NUMBER = 2**63 - 1


def sign_body(key: bytes, body: bytes) -> bytes:
    """Return the signature of a token's body.

    Args:
        key: Key that all proxies share.
        body: Packed positions.
    """
    digest = hmac.new(key, VERSION_PREFIX.encode() + body, hashlib.sha256).digest()
    return digest[:SIGNATURE_BYTES]


def build_token(key: bytes, positions: dict[str, LogPosition]) -> str:
    """Build the token of a session.

    Args:
        key: Key that all proxies share.
        positions: Group name to the position that the session has seen.

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
    """Check a token and return its positions.

    Args:
        key: Key that all proxies share.
        text: What the caller gave.

    Returns:
        Group name to position.

    Raises:
        RequestError: BAD_TOKEN if the token was not built with the key.
    """
    if not text.startswith(VERSION_PREFIX) or len(text) > MAXIMUM_CHARACTERS:
        raise RequestError(ErrorKind.BAD_TOKEN, "not a token of this proxy")
    data = decode_text(text.removeprefix(VERSION_PREFIX))
    signature, body = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, sign_body(key, body)):
        raise RequestError(ErrorKind.BAD_TOKEN, "the signature does not match")
    return read_body(body)


def decode_text(text: str) -> bytes:
    """Decode the text of a token.

    Args:
        text: URL-safe text without padding.

    Returns:
        Signature and body.

    Raises:
        RequestError: BAD_TOKEN if it is not in the form that `build_token` gives.
    """
    padded = text + "=" * (-len(text) % 4)
    try:
        data = base64.b64decode(padded, altchars=b"-_", validate=True)
    except (ValueError, binascii.Error):
        raise RequestError(ErrorKind.BAD_TOKEN, "not valid base64") from None
    return data


def read_body(body: bytes) -> dict[str, LogPosition]:
    """Read the positions of a body whose signature matched.

    Args:
        body: Packed positions.

    Returns:
        Group name to position.

    Raises:
        RequestError: BAD_TOKEN if another version of the proxy packed it.
    """
    positions: dict[str, LogPosition] = {}
    try:
        for group, term, offset in msgpack.unpackb(body):
            if not (0 <= term <= MAXIMUM_NUMBER and 0 <= offset <= MAXIMUM_NUMBER):
                raise ValueError("number out of range")
            positions[str(group)] = LogPosition(int(term), int(offset))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise RequestError(ErrorKind.BAD_TOKEN, "positions not valid") from error
    return positions
