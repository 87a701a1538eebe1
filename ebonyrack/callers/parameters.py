"""Parameters reported to a caller at startup."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ebonyrack.callers.answers import build_parameter_status
from ebonyrack.callers.variables import APPLICATION_NAME
from ebonyrack.callers.variables import KNOWN_SETTINGS
from ebonyrack.callers.variables import TOKEN

if TYPE_CHECKING:
    from ebonyrack.callers.variables import SessionVariables

# Names as PostgreSQL spells them, which drivers expect.
REPORTED_NAMES = {
    "client_encoding": "client_encoding",
    "datestyle": "DateStyle",
    "default_transaction_read_only": "default_transaction_read_only",
    "integer_datetimes": "integer_datetimes",
    "intervalstyle": "IntervalStyle",
    "server_encoding": "server_encoding",
    "server_version": "server_version",
    "standard_conforming_strings": "standard_conforming_strings",
    "timezone": "TimeZone",
}
FIXED_PARAMETERS = b"".join(
    build_parameter_status(reported, KNOWN_SETTINGS[name][0])
    for name, reported in REPORTED_NAMES.items()
) + build_parameter_status("is_superuser", "off")


def build_parameters(user: str, variables: SessionVariables) -> bytes:
    """Build the ParameterStatus frames of a new session.

    Args:
        user: User name.
        variables: Variables of the session.

    Returns:
        The frames.
    """
    frames = FIXED_PARAMETERS
    frames += build_parameter_status("session_authorization", user)
    frames += build_parameter_status(APPLICATION_NAME, variables.application_name)
    token = variables.build_token()
    if token:
        frames += build_parameter_status(TOKEN, token)
    return frames
