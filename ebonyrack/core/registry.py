"""Registries of variants that decorators fill."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

Entry = TypeVar("Entry")


class Registry(Generic[Entry]):
    """A table from a name in the settings to a variant of some behaviour.

    Attributes:
        noun: What the entries are, for error messages.
        entries: Name to entry.
    """

    __slots__ = ("noun", "entries")

    def __init__(self, noun: str) -> None:
        self.noun = noun
        self.entries: dict[str, Entry] = {}

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Return a decorator that adds its target under a name.

        Args:
            name: Name by which settings choose the entry.

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
            KeyError: If no entry has the name; the message lists those there are.
        """
        if name not in self.entries:
            known = ", ".join(sorted(self.entries))
            raise KeyError(f"no {self.noun} {name!r}; known: {known}")
        return self.entries[name]
