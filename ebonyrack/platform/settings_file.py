"""Parses the platform's settings file: lines of the form a.b=value."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from result import Err
from result import Ok
from result import Result

from ebonyrack.core.address import Address
from ebonyrack.core.address import parse_address
from ebonyrack.core.config_error import ConfigError
from ebonyrack.core.route_settings import RouteProxySettings
from ebonyrack.core.text_file import split_lines
from ebonyrack.platform.account_entries import is_word

# Environment variable in which the platform passes the path of the file.
PATH_VARIABLE = "EBONYRACK_NODE_FILE"

MS_PER_S = 1000.0
# What may stand around a key and a value.
BLANKS = " \t"

ConfigErrors = tuple[ConfigError, ...]


def read_seconds(text: str) -> float:
    """Parse a duration in seconds.

    Raises:
        ValueError: If it is not a finite number above 0.
    """
    value = float(text)
    if not 0 < value < float("inf"):
        raise ValueError(f"must be a duration above 0: {text!r}")
    return value


def read_nonnegative(text: str) -> float:
    """Parse a number from 0.

    Raises:
        ValueError: If it is not a finite number from 0.
    """
    value = float(text)
    if not 0 <= value < float("inf"):
        raise ValueError(f"must be a number from 0: {text!r}")
    return value


def read_milliseconds(text: str) -> float:
    """Parse a duration in milliseconds; return it in seconds.

    Raises:
        ValueError: If it is not a finite number above 0.
    """
    return read_seconds(text) / MS_PER_S


def read_nonempty(text: str) -> str:
    """Return a string that must not be empty.

    Raises:
        ValueError: If it is empty.
    """
    if not text:
        raise ValueError("must not be empty")
    return text


def read_word(text: str) -> str:
    """Return a string that must be one printable word, as in headers of requests.

    Raises:
        ValueError: If it is not.
    """
    if not is_word(text):
        raise ValueError("must be one printable word")
    return text


def read_flag(text: str) -> bool:
    """Parse true or false.

    Raises:
        ValueError: If it is neither.
    """
    if text not in ("true", "false"):
        raise ValueError(f"must be true or false: {text!r}")
    return text == "true"


def read_first_port(host: str, ports: str) -> Address:
    """Parse the address at the first of a range of ports.

    Raises:
        ValueError: If it is not an address.
    """
    return parse_address(f"{host}:{ports.split(',')[0].strip()}")


def read_processor_share(share: str, cores: str) -> float:
    """Parse the part of one core and the speed of the VM, both above 0.

    Raises:
        ValueError: If it is not a finite number above 0.
    """
    power = float(share) * float(cores)
    if not 0 < power < float("inf"):
        raise ValueError(f"must be above 0: {share!r} x {cores!r}")
    return power


# Attribute of the settings, key in the file, parser of the value.
FIELDS: tuple[tuple[str, str, Callable[[str], Any]], ...] = (
    ("name", "nodeName", read_word),
    ("data_centre", "zone", read_nonempty),
    ("caller_address", "listen.front", parse_address),
    ("ready_address", "listen.healthAddr", parse_address),
    # The platform calls its store just "platform", and the rest of itself "cloud".
    ("store_address", "platform.address", parse_address),
    ("order_address", "cloud.address", parse_address),
    ("grace_s", "bounds.graceS", read_seconds),
    ("is_promotion_fenced", "bounds.requireFencing", read_flag),
    ("limit_window_s", "bounds.quotaWindowS", read_seconds),
    ("limit_overshoot", "bounds.quotaOvershoot", read_nonnegative),
    ("limit_slack", "bounds.quotaSlack", read_nonnegative),
    ("leaving_limit_s", "bounds.drainMs", read_milliseconds),
    ("apply_limit_s", "bounds.configApplyMs", read_milliseconds),
)
# Attribute of the settings, keys in the file that it is built of, their parser. An
# attribute keeps its default unless the file has all of them.
COMBINED_FIELDS: tuple[tuple[str, tuple[str, ...], Callable[..., Any]], ...] = (
    ("peer_address", ("ip", "internalPorts"), read_first_port),
    ("processor_share", ("limits.cpuShare", "limits.cores"), read_processor_share),
)
# Keys that a platform which doesn't know them leaves out.
OPTIONAL_KEYS = frozenset(
    {
        "bounds.requireFencing",
        "bounds.drainMs",
        "bounds.configApplyMs",
        "bounds.quotaWindowS",
        "bounds.quotaOvershoot",
        "bounds.quotaSlack",
    }
)


def parse_settings(text: str, source: str) -> Result[RouteProxySettings, ConfigErrors]:
    """Parse and validate the settings as a whole.

    Args:
        text: Content of the file; unknown keys are ignored.
        source: Name of the file, for configuration errors.

    Returns:
        The settings, or all configuration errors.
    """
    values: dict[str, str] = {}
    errors: list[ConfigError] = []
    for number, line in enumerate(split_lines(text), start=1):
        key, equals, value = line.partition("=")
        if line.strip(BLANKS) and not equals:
            errors.append(
                ConfigError(source, "", f"line {number}", "must be key=value")
            )
        values[key.strip(BLANKS)] = value.strip(BLANKS)
    settings: dict[str, Any] = {}
    for attribute, key, read in FIELDS:
        if key not in values:
            if key in OPTIONAL_KEYS:
                continue
            errors.append(ConfigError(source, "", key, "is missing"))
            continue
        try:
            settings[attribute] = read(values[key])
        except ValueError as error:
            errors.append(ConfigError(source, "", key, str(error)))
    for attribute, keys, read in COMBINED_FIELDS:
        parts = [values.get(key, "") for key in keys]
        if not all(parts):
            continue
        try:
            settings[attribute] = read(*parts)
        except ValueError as error:
            errors.append(ConfigError(source, "", ", ".join(keys), str(error)))
    if errors:
        return Err(tuple(errors))
    return Ok(RouteProxySettings(**settings))
