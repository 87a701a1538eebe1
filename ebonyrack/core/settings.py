"""Settings of a daemon process, read from its INI file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import Literal

from pydantic import Field

from ebonyrack.core.config_error import ConfigError
from ebonyrack.core.ini import Addresses
from ebonyrack.core.ini import AddressField
from ebonyrack.core.ini import Section
from ebonyrack.core.ini import check_section
from ebonyrack.core.ini import parse_ini


class ProxySettings(Section):
    """Section `[proxy]`: identity and listeners of this process."""

    name: str = Field(min_length=1, pattern=r"^[A-Za-z0-9._-]+$")
    data_centre: str = Field(min_length=1)
    region: str = "default"
    caller_address: AddressField
    peer_address: AddressField
    metrics_address: AddressField | None = None
    trust_loopback_callers: bool = False
    maximum_callers: int = Field(2600, ge=1)
    startup_timeout_s: float = Field(5.0, gt=0)
    maximum_message_bytes: int = Field(16 * 1024 * 1024, ge=1024)
    drain_limit_s: float = Field(30.0, gt=0)


class StoreSettings(Section):
    """Section `[store]`: how to reach the platform's key-value store."""

    address: AddressField
    prefix: str = "ebonyrack"
    timeout_s: float = Field(1.0, gt=0)
    # A lost response hides a change for this long, a sixteenth more (the store's own
    # jitter) and the timeout.
    watch_s: float = Field(8.0, gt=0)
    maximum_calls_per_s: float = Field(5.0, gt=0)
    watchers_per_data_centre: int = Field(2, ge=1)


class PeerSettings(Section):
    """Section `[peers]`: initial peers, shared secret and time limits."""

    seeds: Addresses = ()
    secret: str = Field(min_length=8)
    heartbeat_interval_s: float = Field(0.2, gt=0)
    suspect_after_s: float = Field(0.8, gt=0)
    dead_after_s: float = Field(2.0, gt=0)
    cut_off_after_s: float = Field(10.0, gt=0)


class LogSettings(Section):
    """Section `[log]`: level and sampling."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    decision_sampling: float = Field(1.0, ge=0, le=1)


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon process.

    Attributes:
        proxy: Name, data centre and listeners.
        store: The platform's store.
        peers: The other proxies.
        log: Level and sampling of the log.
    """

    proxy: ProxySettings
    store: StoreSettings
    peers: PeerSettings
    log: LogSettings


SECTION_MODELS: dict[str, type[Section]] = {
    "proxy": ProxySettings,
    "store": StoreSettings,
    "peers": PeerSettings,
    "log": LogSettings,
}


def parse_settings(
    text: str, source: str
) -> tuple[Settings | None, tuple[ConfigError, ...]]:
    """Parse and validate the settings of a daemon.

    Args:
        text: The INI document.
        source: Its file name, for errors.

    Returns:
        The settings, or None with all errors.
    """
    sections, syntax_errors = parse_ini(text, source)
    if syntax_errors:
        return None, syntax_errors
    errors = list(find_unknown_sections(sections, source))
    records: dict[str, Any] = {}
    for name, model in SECTION_MODELS.items():
        record, section_errors = check_section(
            model, sections.get(name, {}), source, name
        )
        records[name] = record
        errors.extend(section_errors)
    if errors:
        return None, tuple(errors)
    return Settings(**records), ()


def find_unknown_sections(
    sections: dict[str, dict[str, str]], source: str
) -> tuple[ConfigError, ...]:
    """Return an error for each section that the settings don't have.

    Args:
        sections: Section to values.
        source: Name of the document.

    Returns:
        The errors.
    """
    known = ", ".join(SECTION_MODELS)
    return tuple(
        ConfigError(source, name, "", f"unknown section; allowed: {known}")
        for name in sections
        if name not in SECTION_MODELS
    )
