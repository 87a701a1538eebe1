"""Session variables that the proxy keeps for each caller."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from ebonyrack.callers.token import build_token
from ebonyrack.callers.token import read_token
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.position import LOG_START

if TYPE_CHECKING:
    from ebonyrack.core.position import LogPosition

TOKEN = "ebonyrack.token"
MAXIMUM_AGE = "ebonyrack.max_age"
IDEMPOTENCY_KEY = "ebonyrack.idempotency_key"
SERVED_BY = "ebonyrack.served_by"
REPLAYED = "ebonyrack.replayed"
APPLICATION_NAME = "application_name"

DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)\s*(ms|s|min|h)?")
SECONDS_OF_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
MAXIMUM_KEY_CHARACTERS = 200

# Accepted values; the first is the default, which pooled connections have. The others
# have the same results: another spelling, or a setting of the planner or of the output
# of floats that changes no result here.
KNOWN_SETTINGS: dict[str, tuple[str, ...]] = {
    "client_encoding": ("UTF8", "utf-8", "unicode"),
    "client_min_messages": ("notice", "warning"),
    "datestyle": ("ISO, MDY", "iso", "iso,mdy"),
    "default_transaction_isolation": ("read committed",),
    "default_transaction_read_only": ("off", "false", "no", "0"),
    "extra_float_digits": ("1", "2", "3"),
    "geqo": ("on", "off"),
    "integer_datetimes": ("on",),
    "intervalstyle": ("postgres",),
    "jit": ("off", "on"),
    "search_path": ('"$user", public', "$user, public", "public"),
    "server_encoding": ("UTF8",),
    "server_version": ("16.0",),
    "standard_conforming_strings": ("on", "true", "1"),
    "timezone": ("UTC", "etc/utc", "gmt"),
    "transaction_isolation": ("read committed",),
    "transaction_read_only": ("off",),
}


class SessionVariables:
    """Variables of a session, and the positions that its reads must have reached.

    Attributes:
        group: Name of the session's database group.
        token_key: Key that signs tokens.
        token_position: Position of the group from the caller's token, or None.
        own_writes: Position of the last write acknowledged in this session.
        wrote_at_s: Monotonic time of that acknowledgement, or None.
        other_positions: Positions of other groups from the caller's token.
        maximum_age_s: Maximum staleness of reads, in seconds, or None.
        idempotency_key: Idempotency key of the next transaction, or an empty string.
        served_by: Name and role of the upstream that served the last request.
        application_name: Application name given by the caller.
        settings: Accepted value of each setting that the caller has set.
    """

    __slots__ = (
        "group",
        "token_key",
        "token_position",
        "own_writes",
        "wrote_at_s",
        "other_positions",
        "maximum_age_s",
        "idempotency_key",
        "served_by",
        "application_name",
        "settings",
    )

    def __init__(self, group: str, token_key: bytes) -> None:
        self.group = group
        self.token_key = token_key
        self.token_position: LogPosition | None = None
        self.own_writes: LogPosition = LOG_START
        self.wrote_at_s: float | None = None
        self.other_positions: dict[str, LogPosition] | None = None
        self.maximum_age_s: float | None = None
        self.idempotency_key = ""
        self.served_by = ""
        self.application_name = ""
        self.settings: dict[str, str] = {}

    def set(self, name: str, value: str) -> None:
        """Set a variable.

        Args:
            name: Name in lower case.
            value: Its value.

        Raises:
            RequestError: BAD_TOKEN, or UNSUPPORTED if the variable or the value is not
                available over pooled connections.
        """
        if name == TOKEN:
            self.set_token(value)
        elif name == MAXIMUM_AGE:
            self.maximum_age_s = parse_duration(value)
        elif name == IDEMPOTENCY_KEY:
            self.set_idempotency_key(value)
        elif name == APPLICATION_NAME:
            self.application_name = value
        else:
            self.set_setting(name, value)

    def set_setting(self, name: str, value: str) -> None:
        """Record the value of a setting that pooled connections satisfy.

        Args:
            name: Name in lower case.
            value: The requested value.

        Raises:
            RequestError: UNSUPPORTED.
        """
        accepted = find_known_setting(name, value)
        if accepted is None:
            self.settings.pop(name, None)
        else:
            self.settings[name] = accepted

    def set_token(self, value: str) -> None:
        """Replace the positions by those of a token; an empty one clears them.

        Args:
            value: The token, or an empty string.

        Raises:
            RequestError: BAD_TOKEN.
        """
        positions = dict(read_token(self.token_key, value)) if value else {}
        self.token_position = positions.pop(self.group, None)
        self.other_positions = positions or None

    def set_idempotency_key(self, value: str) -> None:
        """Set the idempotency key of the next transaction.

        Args:
            value: The key, or an empty string for none.

        Raises:
            RequestError: UNSUPPORTED if the key is too long.
        """
        if len(value) > MAXIMUM_KEY_CHARACTERS:
            reason = f"idempotency key is too long: {len(value)} characters"
            raise RequestError(ErrorKind.UNSUPPORTED, reason)
        self.idempotency_key = value

    def reset(self, name: str) -> None:
        """Reset a variable to its default.

        Args:
            name: Name in lower case, or `all`.

        Raises:
            RequestError: UNSUPPORTED if the variable is unknown.
        """
        if name == "all":
            self.maximum_age_s = None
            self.idempotency_key = ""
            self.settings.clear()
            return
        self.settings.pop(name, None)
        if name in (TOKEN, IDEMPOTENCY_KEY, APPLICATION_NAME):
            self.set(name, "")
        elif name == MAXIMUM_AGE:
            self.maximum_age_s = None
        elif name not in KNOWN_SETTINGS:
            raise RequestError(ErrorKind.UNSUPPORTED, f"RESET {name}")

    def show(self, name: str) -> str:
        """Return a variable's value as text.

        Args:
            name: Name in lower case.

        Raises:
            RequestError: UNSUPPORTED if the variable is unknown.
        """
        if name == TOKEN:
            return self.build_token()
        if name == MAXIMUM_AGE:
            age_s = self.maximum_age_s
            return "" if age_s is None else f"{age_s * 1000:g}ms"
        if name == IDEMPOTENCY_KEY:
            return self.idempotency_key
        if name == SERVED_BY:
            return self.served_by
        if name == APPLICATION_NAME:
            return self.application_name
        if name in KNOWN_SETTINGS:
            return self.settings.get(name, KNOWN_SETTINGS[name][0])
        raise RequestError(ErrorKind.UNSUPPORTED, f"SHOW {name}")

    def record_write(self, position: LogPosition) -> None:
        """Record the position and time of an acknowledged write.

        Args:
            position: Position of the commit.
        """
        self.own_writes = max(self.own_writes, position)
        self.wrote_at_s = now_s()

    def build_token(self) -> str:
        """Build the session token, which is empty if there is no position."""
        positions = dict(self.other_positions or {})
        position = max(self.own_writes, self.token_position or LOG_START)
        if position > LOG_START:
            positions[self.group] = position
        return build_token(self.token_key, positions) if positions else ""


def parse_duration(text: str) -> float | None:
    """Parse a duration such as `5s`; a number without unit is in milliseconds.

    Args:
        text: The duration; empty or 0 means none.

    Returns:
        Seconds, or None.

    Raises:
        RequestError: UNSUPPORTED if the text is not a duration.
    """
    text = text.strip()
    if not text:
        return None
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise RequestError(ErrorKind.UNSUPPORTED, f"invalid duration: {text!r}")
    return float(match[1]) * SECONDS_OF_UNIT[match[2] or "ms"] or None


def find_known_setting(name: str, value: str) -> str | None:
    """Return the spelling of an accepted value, None for the default.

    Args:
        name: Name in lower case.
        value: The requested value.

    Raises:
        RequestError: UNSUPPORTED if pooled connections don't have the value.
    """
    normalized = value.strip().strip("'").lower()
    if name in KNOWN_SETTINGS and normalized in ("", "default"):
        return None
    for spelling in KNOWN_SETTINGS.get(name, ()):
        if normalized == spelling.lower():
            return spelling
    setting = f"SET {name} to {value!r}" if name in KNOWN_SETTINGS else f"SET {name}"
    raise RequestError(ErrorKind.UNSUPPORTED, setting)
