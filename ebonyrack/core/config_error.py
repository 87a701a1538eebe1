"""A fault of a document that a person writes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConfigError:
    """One fault of an INI document.

    Attributes:
        source: File or document in which the fault is.
        section: Section, or an empty string.
        key: Key, or an empty string.
        text: What is wrong and what is allowed.
    """

    source: str
    section: str
    key: str
    text: str

    def __str__(self) -> str:
        place = f"[{self.section}]" if self.section else ""
        if self.key:
            place = f"{place} {self.key}"
        return f"{self.source}: {place}: {self.text}"
