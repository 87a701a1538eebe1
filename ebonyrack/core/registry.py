"""Registries of named variants, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

Entry = TypeVar("Entry")


class Registry(Generic[Entry]):
    """A mapping from names, such as values of settings, to variants of a behaviour.

    Attributes:
        noun: What an entry is, for error messages.
        entries: Name to entry.
    """

    __slots__ = ("noun", "entries")

    def __init__(self, noun: str) -> None:
        self.noun = noun
        self.entries: dict[str, Entry] = {}

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Return a decorator that adds its target under a name.

        Args:
            name: Name by which the entry is looked up.

        Returns:
            The decorator.

        Raises:
            ValueError: If the name is taken (raised by the decorator).
        """

        def add(entry: Entry) -> Entry:
            if name in self.entries:
                raise ValueError(f"{self.noun} {name!r} is registered already")
            self.entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> Entry:
        """Return the entry of a name.

        Args:
            name: Name that a decorator registered.

        Returns:
            The entry.

        Raises:
            KeyError: If no entry has the name; the message lists the known names.
        """
        if name not in self.entries:
            known = ", ".join(sorted(self.entries))
            raise KeyError(f"no {self.noun} {name!r}; known: {known}")
        return self.entries[name]
