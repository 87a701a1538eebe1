"""Sets up the developers' virtual environment, or keeps one that is whole.

    python3 -B -X pycache_prefix=target/unused -m ebonyrack.building.environment DIR

It is kept if its record says that it was made from the same files, for this checkout,
Python and machine, and all files that were installed are still there. Bytecode beside
modules that have changed since is removed, as Python goes by their times and sizes. The
times of files decide nothing.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

from ebonyrack.building.build import EXIT_FAILED
from ebonyrack.building.build import EXIT_OK
from ebonyrack.building.build import RECORD_NAME
from ebonyrack.building.build import BuildError
from ebonyrack.building.build import check_python
from ebonyrack.building.build import describe_platform
from ebonyrack.building.build import digest_files
from ebonyrack.building.build import list_files

# What the environment is made from, relative to the checkout.
SOURCES = ("requirements.lock", "pyproject.toml")
# Folders whose modules are run from the checkout.
MODULE_FOLDERS = ("ebonyrack", "demo")
BYTECODE_FOLDER = "__pycache__"
# A folder without this file is no virtual environment and is not cleared.
ENVIRONMENT_FILE = "pyvenv.cfg"


class Environment:
    """A virtual environment in which the checkout is installed.

    Attributes:
        root: Folder of the checkout.
        folder: Folder of the environment.
        record: What was recorded after the last successful setup; empty without one.
    """

    __slots__ = ("root", "folder", "record")

    def __init__(self, root: Path, folder: Path) -> None:
        self.root = root
        self.folder = folder
        self.record: dict[str, Any] = read_record(folder / RECORD_NAME)

    @property
    def python(self) -> Path:
        """The interpreter."""
        return self.folder / "bin/python"

    def describe(self) -> dict[str, str]:
        """Return what the environment has to be made from."""
        return {
            **describe_platform(),
            "path": str(self.folder),
            "checkout": str(self.root),
            "sources": digest_files(self.root, SOURCES),
        }

    def is_current(self) -> bool:
        """Return whether it is made from the same and all installed files are there."""
        if self.record.get("made_from") != self.describe():
            return False
        sizes = self.record["installed"]
        return all(measure_file(self.folder / path) == sizes[path] for path in sizes)

    def make(self) -> None:
        """Make the environment afresh.

        Raises:
            BuildError: If a step fails, or the folder holds something else.
        """
        has_content = self.folder.is_dir() and any(self.folder.iterdir())
        if has_content and not (self.folder / ENVIRONMENT_FILE).exists():
            raise BuildError(f"{self.folder} is no virtual environment; remove it")
        self.record = {}
        self.run(sys.executable, "-m", "venv", "--clear", str(self.folder))
        install = [str(self.python), "-m", "pip", "install", "--quiet"]
        install.append("--disable-pip-version-check")
        self.run(*install, "-r", SOURCES[0])
        self.run(*install, "--no-deps", "--no-build-isolation", "-e", ".")
        self.record["made_from"] = self.describe()
        self.record["installed"] = {
            path: measure_file(self.folder / path) for path in list_files(self.folder)
        }

    def run(self, *command: str) -> None:
        """Run one step.

        Raises:
            BuildError: If it fails.
        """
        status = subprocess.run(command, cwd=self.root).returncode
        if status != 0:
            step = " ".join(command[1:4])
            raise BuildError(f"{step} ended with status {status}")

    def remove_old_bytecode(self) -> None:
        """Remove the bytecode of modules that aren't as they were last time."""
        before = self.record.get("modules", {})
        present = digest_each_module(self.root)
        for path in present.keys() | before.keys():
            if present.get(path) != before.get(path):
                remove_bytecode(self.root / path)
        self.record["modules"] = present

    def save(self) -> None:
        """Record the state after all else has succeeded."""
        (self.folder / RECORD_NAME).write_text(json.dumps(self.record))


def read_record(path: Path) -> dict[str, Any]:
    """Return a record; empty if there is none."""
    try:
        record = json.loads(path.read_bytes())
    except (OSError, ValueError):
        return {}
    return record if isinstance(record, dict) else {}


def measure_file(path: Path) -> int:
    """Return the size of a file in bytes, -1 if it is missing."""
    try:
        return path.stat().st_size
    except OSError:
        return -1


def digest_each_module(root: Path) -> dict[str, str]:
    """Return the digests of the modules of a checkout, tests included, by path."""
    paths = [
        f"{folder}/{path}"
        for folder in MODULE_FOLDERS
        for path in list_files(root / folder)
        if path.endswith(".py")
    ]
    paths += [path.name for path in root.glob("*.py")]
    return {
        path: hashlib.sha256((root / path).read_bytes()).hexdigest() for path in paths
    }


def remove_bytecode(module: Path) -> None:
    """Remove the bytecode of a module, for all Pythons and test runners."""
    for path in (module.parent / BYTECODE_FOLDER).glob(f"{module.stem}.*.pyc"):
        path.unlink(missing_ok=True)


def main(arguments: list[str] | None = None) -> int:
    """Run the program.

    Args:
        arguments: Command line without the program's name; `sys.argv` if None.

    Returns:
        The exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("folder", type=Path, help="folder of the environment")
    parser.add_argument("--root", type=Path, default=Path.cwd(), help="the checkout")
    options = parser.parse_args(arguments)
    root = options.root.resolve()
    # A link may lead to an environment that other checkouts use as well.
    environment = Environment(root, Path(os.path.abspath(options.folder)))
    try:
        check_python()
        if not environment.is_current():
            environment.make()
        environment.remove_old_bytecode()
        environment.save()
    except (BuildError, OSError) as error:
        print(f"setting up {environment.folder} failed: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
