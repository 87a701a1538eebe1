"""Configuration errors."""

from __future__ import annotations

from msgspec import Struct


class ConfigError(Struct, frozen=True):
    """One error in a configuration document.

    Attributes:
        source: File or document with the error.
        section: Section, or an empty string.
        key: Key, or an empty string.
        text: What is wrong and what is allowed.
    """

    source: str
    section: str
    key: str
    text: str

    def __str__(self) -> str:
        location = f"[{self.section}]" if self.section else ""
        if self.key:
            location = f"{location} {self.key}"
        return f"{self.source}: {location}: {self.text}"
