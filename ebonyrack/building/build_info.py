"""Which build of the program runs: its modules, libraries, Python and machine.

Imports the standard library only, so that it can explain why a library can't be loaded.
"""

from __future__ import annotations

import hashlib
import json
import os
import sys
from importlib.machinery import EXTENSION_SUFFIXES
from pathlib import Path

from ebonyrack import __version__

PACKAGE = Path(__file__).parents[1]
RECORD_NAME = "build.json"
# Digests are shortened to this many hexadecimal digits where people read them.
SHOWN_DIGITS = 12


class BuildInfo:
    """What a process runs.

    Attributes:
        version: Version of the project.
        modules: Start of the digest of the project's modules without tests; it
            identifies the code where no commit is known.
        libraries: Start of the digest of the libraries' names and versions.
        python: Version of Python.
        machine: Kind of processor.
    """

    __slots__ = ("version", "modules", "libraries", "python", "machine")

    def __init__(self, modules: str) -> None:
        self.version = __version__
        self.modules = modules[:SHOWN_DIGITS]
        self.libraries = digest_libraries()[:SHOWN_DIGITS]
        self.python = sys.version.split()[0]
        self.machine = os.uname().machine

    def __str__(self) -> str:
        fields = self.list_fields()
        version = fields.pop("version")
        return " ".join([version, *(f"{name}={fields[name]}" for name in fields)])

    def list_fields(self) -> dict[str, str]:
        """Return the fields by name, for logs and metrics."""
        return {name: getattr(self, name) for name in self.__slots__}


def read_build_info(is_recorded: bool = True) -> BuildInfo:
    """Return the build of this process.

    Args:
        is_recorded: Whether the digest of the modules may come from the record of the
            build, if there is one. Reading all modules delays the startup of a daemon.
    """
    recorded = read_made_from(PACKAGE).get("modules") if is_recorded else None
    return BuildInfo(recorded or digest_present_modules())


def digest_present_modules() -> str:
    """Return the digest of the modules as they are now."""
    # Importing the build takes longer than the rest of this module.
    from ebonyrack.building.build import digest_modules

    return digest_modules(PACKAGE)


def read_made_from(folder: Path) -> dict[str, str]:
    """Return from what a folder was made by the build; empty if it wasn't."""
    try:
        made_from = json.loads((folder / RECORD_NAME).read_bytes())["made_from"]
        return {str(name): str(value) for name, value in made_from.items()}
    except (OSError, ValueError, LookupError, TypeError, AttributeError):
        return {}


def describe_mismatch() -> str:
    """Return how this Python and machine differ from those of the build, if at all."""
    made_from = read_made_from(PACKAGE.parent)
    present = {"python": EXTENSION_SUFFIXES[0], "machine": os.uname().machine}
    differences = [
        f"built for {made_from[name]}, runs on {value}"
        for name, value in present.items()
        if made_from.get(name, value) != value
    ]
    return "; ".join(differences) or "the build is incomplete"


def digest_libraries() -> str:
    """Return the digest of the names and versions of the installed libraries."""
    names = {
        name
        for folder in sys.path
        if os.path.isdir(folder)
        for name in os.listdir(folder)
        if name.endswith(".dist-info")
    }
    return hashlib.sha256("\n".join(sorted(names)).encode()).hexdigest()
