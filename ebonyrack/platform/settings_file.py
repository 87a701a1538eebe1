"""The platform's settings file: lines of the form a.b=value."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from result import Err
from result import Ok
from result import Result

from ebonyrack.core.address import parse_address
from ebonyrack.core.config_error import ConfigError
from ebonyrack.core.route_settings import RouteProxySettings

# The platform names the file in this variable of the environment.
PATH_VARIABLE = "EBONYRACK_NODE_FILE"

Faults = tuple[ConfigError, ...]


def read_seconds(text: str) -> float:
    """Read a time in seconds.

    Raises:
        ValueError: If it is no number above 0.
    """
    value = float(text)
    if not 0 < value < float("inf"):
        raise ValueError(f"not a time above 0: {text!r}")
    return value


def read_word(text: str) -> str:
    """Return a text that must not be empty.

    Raises:
        ValueError: If it is empty.
    """
    if not text:
        raise ValueError("must not be empty")
    return text


# Attribute of the settings, key in the file, reader of the value.
FIELDS: tuple[tuple[str, str, Callable[[str], Any]], ...] = (
    ("name", "nodeName", read_word),
    ("data_centre", "zone", read_word),
    ("caller_address", "listen.front", parse_address),
    ("ready_address", "listen.healthAddr", parse_address),
    # The platform calls its store just "platform", and the rest "cloud".
    ("store_address", "platform.address", parse_address),
    ("order_address", "cloud.address", parse_address),
    ("grace_s", "bounds.graceS", read_seconds),
)


def parse_settings(text: str, source: str) -> Result[RouteProxySettings, Faults]:
    """Read and check the settings as a whole.

    Args:
        text: The file; keys that aren't known are left alone.
        source: Name of the file, for faults.

    Returns:
        The settings, or every fault.
    """
    values: dict[str, str] = {}
    faults: list[ConfigError] = []
    for number, line in enumerate(text.splitlines(), start=1):
        key, equals, value = line.partition("=")
        if line.strip() and not equals:
            faults.append(
                ConfigError(source, "", f"line {number}", "must be key=value")
            )
        values[key.strip()] = value.strip()
    found: dict[str, Any] = {}
    for attribute, key, read in FIELDS:
        if key not in values:
            faults.append(ConfigError(source, "", key, "is missing"))
            continue
        try:
            found[attribute] = read(values[key])
        except ValueError as error:
            faults.append(ConfigError(source, "", key, str(error)))
    if faults:
        return Err(tuple(faults))
    return Ok(RouteProxySettings(**found))
