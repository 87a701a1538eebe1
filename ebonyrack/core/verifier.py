"""Password verifiers of SCRAM-SHA-256 in PostgreSQL's text form."""

from __future__ import annotations

import base64
import binascii
from dataclasses import dataclass

MECHANISM = "SCRAM-SHA-256"


@dataclass(frozen=True, slots=True)
class Verifier:
    """Data with which a password is verified without knowing it.

    Attributes:
        salt: Salt of the password.
        stored_key: Hash of the client key.
        server_key: Key with which the server proves itself to the client.
        iterations: Number of hash iterations.
    """

    salt: bytes
    stored_key: bytes
    server_key: bytes
    iterations: int


def parse_verifier(text: str) -> Verifier:
    """Parse a verifier in PostgreSQL's text form.

    Args:
        text: `SCRAM-SHA-256$iterations:salt$stored key:server key`.

    Returns:
        The verifier.

    Raises:
        ValueError: If the text has another form.
    """
    try:
        mechanism, cost, keys = text.split("$")
        iterations, salt = cost.split(":")
        stored_key, server_key = keys.split(":")
        if mechanism != MECHANISM:
            raise ValueError(mechanism)
        return Verifier(
            base64.b64decode(salt, validate=True),
            base64.b64decode(stored_key, validate=True),
            base64.b64decode(server_key, validate=True),
            int(iterations),
        )
    except (ValueError, binascii.Error) as error:
        raise ValueError(f"not a {MECHANISM} verifier") from error
