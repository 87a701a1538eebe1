"""Builds what the deploy file runs: libraries, modules and their bytecode.

    python3 -I -B ebonyrack/building/build.py

Everything is made below `target/`, aside, and moved into place with a record of what it
was made from. What is there already is kept if its record says that it was made from
the same files, for this Python and machine, and its contents are still as recorded.
The times of files decide nothing.

Imports the standard library only, and no other module of the project: bytecode that an
earlier version left beside the sources would be taken for this version's.
"""

from __future__ import annotations

import argparse
import compileall
import fcntl
import hashlib
import json
import os
import platform
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from collections.abc import Iterator
from contextlib import contextmanager
from importlib.machinery import EXTENSION_SUFFIXES
from pathlib import Path
from py_compile import PycInvalidationMode

# Written into a folder after all else; the program reads it under this name.
RECORD_NAME = "build.json"
OLDEST_PYTHON = (3, 11)
STAGING_PREFIX = "staging-"
REPLACED_SUFFIX = ".replaced"
EXIT_OK = 0
EXIT_FAILED = 1


class BuildError(Exception):
    """A step of the build failed."""


class BuildSettings:
    """Paths of a build.

    Attributes:
        root: Folder of the checkout.
        package: Folder of the project's modules.
        requirements: File with the libraries to install.
        deploy: File with the command that runs a proxy.
        target: Folder in which everything is made.
    """

    __slots__ = ("root", "package", "requirements", "deploy", "target")

    def __init__(self, root: Path) -> None:
        self.root = root
        self.package = root / "ebonyrack"
        self.requirements = root / "deploy/requirements.txt"
        self.deploy = root / "deploy/system.toml"
        self.target = root / "target"


class BuiltFolder:
    """A folder that is made as a whole or kept.

    Attributes:
        location: Path below the target.
        settings: Paths of the build.
        path: Where it is in the end.
        made_from: Digests and names of what it is made from.
    """

    __slots__ = ("settings", "path", "made_from")

    location = ""

    def __init__(self, settings: BuildSettings) -> None:
        self.settings = settings
        self.path = settings.target / self.location
        self.made_from = {**describe_platform(), **self.digest_sources()}

    def digest_sources(self) -> dict[str, str]:
        """Return the digests of the files from which it is made."""
        raise NotImplementedError

    def fill(self, folder: Path) -> None:
        """Make the contents in an empty folder.

        Raises:
            BuildError: If a step fails.
        """
        raise NotImplementedError

    def list_contents(self, folder: Path) -> list[str]:
        """Return the relative paths of the files that belong to it, sorted."""
        raise NotImplementedError

    def is_current(self) -> bool:
        """Return whether the folder is there, whole and made from the same files."""
        try:
            record = json.loads((self.path / RECORD_NAME).read_bytes())
            return record == self.build_record(self.path)
        except (OSError, ValueError):
            return False

    def build_record(self, folder: Path) -> dict[str, object]:
        """Return what is recorded of a filled folder."""
        contents = digest_files(folder, self.list_contents(folder))
        return {"made_from": self.made_from, "contents": contents}

    def make(self) -> None:
        """Make the folder aside and put it in the place of the present one.

        Raises:
            BuildError: If a step fails; the present one stays then.
        """
        with staging_folder(self.settings.target) as staging:
            folder = staging / self.path.name
            folder.mkdir()
            self.fill(folder)
            record = json.dumps(self.build_record(folder), indent=1)
            (folder / RECORD_NAME).write_text(record)
            replace_folder(self.path, folder)


class Libraries(BuiltFolder):
    """The declared libraries, with bytecode that is read without their sources."""

    __slots__ = ()

    # The platform puts this folder on Python's path.
    location = "deps"

    def digest_sources(self) -> dict[str, str]:
        """Return the digest of the list of libraries."""
        path = self.settings.requirements
        return {"requirements": digest_files(path.parent, [path.name])}

    def fill(self, folder: Path) -> None:
        """Install the libraries."""
        command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-compile"]
        command += ["--no-input", "--disable-pip-version-check", "--target"]
        command += [str(folder), "-r", str(self.settings.requirements)]
        status = subprocess.run(command, cwd=self.settings.root).returncode
        if status != 0:
            raise BuildError(
                f"the libraries can't be installed: pip ended with status {status}"
            )
        # Libraries may contain files that are no modules of this Python.
        compile_folder(folder, self.path, PycInvalidationMode.UNCHECKED_HASH)

    def list_contents(self, folder: Path) -> list[str]:
        """Return the files of the libraries without the project's own modules."""
        modules = self.settings.package.name
        return [
            path
            for path in list_files(folder)
            if not path.startswith(f"{modules}{os.sep}") and path != RECORD_NAME
        ]


class Modules(BuiltFolder):
    """Links to the project's modules, with bytecode beside the links.

    The bytecode is valid for the contents of a module, so that no other version of a
    module runs than the one in the checkout.
    """

    __slots__ = ()

    location = "deps/ebonyrack"

    def digest_sources(self) -> dict[str, str]:
        """Return the digest of the modules."""
        return {"modules": digest_modules(self.settings.package)}

    def fill(self, folder: Path) -> None:
        """Link and compile the modules."""
        package = self.settings.package
        # The staged folder is as deep below the checkout as the final one.
        to_package = os.path.relpath(package, folder.resolve())
        for module in list_modules(package):
            link = folder / module
            link.parent.mkdir(parents=True, exist_ok=True)
            to_folder = os.path.relpath(folder, link.parent)
            link.symlink_to(os.path.normpath(f"{to_folder}/{to_package}/{module}"))
        if not compile_folder(folder, self.path, PycInvalidationMode.CHECKED_HASH):
            raise BuildError("a module of the project can't be compiled")

    def list_contents(self, folder: Path) -> list[str]:
        """Return the links to the modules."""
        return [path for path in list_files(folder) if path != RECORD_NAME]


# The modules are below the libraries and are replaced with them.
FOLDER_KINDS = (Libraries, Modules)


def describe_platform() -> dict[str, str]:
    """Return which Python and machine compiled code must be for."""
    return {"python": EXTENSION_SUFFIXES[0], "machine": platform.machine()}


def list_files(folder: Path) -> list[str]:
    """Return the relative paths of files, sorted, without bytecode.

    Other programs may write bytecode too. It is checked by starting the program.
    """
    return sorted(
        os.path.relpath(os.path.join(parent, name), folder)
        for parent, _, names in os.walk(folder)
        for name in names
        if not name.endswith(".pyc")
    )


def list_modules(package: Path) -> list[str]:
    """Return the relative paths of a package's modules, sorted, without tests."""
    return [
        path
        for path in list_files(package)
        if path.endswith(".py")
        and not path.endswith("_test.py")
        and os.path.basename(path) != "conftest.py"
    ]


def digest_modules(package: Path) -> str:
    """Return the digest of the modules of a package: their paths and contents."""
    return digest_files(package, list_modules(package))


def digest_files(folder: Path, paths: Iterable[str]) -> str:
    """Return the digest of files, in hexadecimal digits.

    Args:
        folder: The folder that contains them.
        paths: Their paths relative to it.

    Raises:
        OSError: If one can't be read.
    """
    digest = hashlib.sha256()
    for path in paths:
        content = (folder / path).read_bytes()
        digest.update(f"{path} {len(content)}\n".encode())
        digest.update(content)
    return digest.hexdigest()


def compile_folder(folder: Path, final: Path, mode: PycInvalidationMode) -> bool:
    """Compile the modules in a folder; return whether all could be.

    Args:
        folder: The folder.
        final: Where it is in the end, for tracebacks.
        mode: When the bytecode is valid.
    """
    is_checked = mode is PycInvalidationMode.CHECKED_HASH
    return bool(
        compileall.compile_dir(
            folder,
            ddir=str(final),
            quiet=1 if is_checked else 2,
            force=True,
            invalidation_mode=mode,
        )
    )


@contextmanager
def staging_folder(target: Path) -> Iterator[Path]:
    """Make an empty folder below another one and remove it in the end."""
    staging = Path(tempfile.mkdtemp(prefix=STAGING_PREFIX, dir=target))
    try:
        yield staging
    finally:
        shutil.rmtree(staging, ignore_errors=True)


def replace_folder(present: Path, new: Path) -> None:
    """Put a folder in the place of another one."""
    replaced = present.with_name(present.name + REPLACED_SUFFIX)
    shutil.rmtree(replaced, ignore_errors=True)
    if present.is_symlink() or present.exists():
        present.rename(replaced)
    new.rename(present)
    shutil.rmtree(replaced, ignore_errors=True)


@contextmanager
def locked_target(target: Path) -> Iterator[None]:
    """Make the target's folder and keep other builds out of it."""
    target.mkdir(exist_ok=True)
    with (target / "build.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        for left_over in target.glob(f"{STAGING_PREFIX}*"):
            shutil.rmtree(left_over, ignore_errors=True)
        yield


def check_start(settings: BuildSettings) -> str:
    """Start the program as the deploy file does; return the build that it states.

    Raises:
        BuildError: If it doesn't start.
    """
    import tomllib

    roles = tomllib.loads(settings.deploy.read_text())["roles"]
    command = [*next(iter(roles.values()))["run"].split(), "--version"]
    environment = {
        "PATH": os.environ.get("PATH", ""),
        "PYTHONPATH": str(settings.target / "deps"),
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    ended = subprocess.run(
        command, cwd=settings.root, env=environment, capture_output=True, text=True
    )
    if ended.returncode != 0:
        reason = (ended.stderr.strip().splitlines() or ["no output"])[-1]
        raise BuildError(f"what was built does not start: {reason}")
    return ended.stdout.strip()


def check_python() -> None:
    """Check the version of Python.

    Raises:
        BuildError: If it is too old.
    """
    if sys.version_info < OLDEST_PYTHON:
        needed = ".".join(map(str, OLDEST_PYTHON))
        present = platform.python_version()
        raise BuildError(f"Python {needed} or later is needed, this is {present}")


def make_folders(settings: BuildSettings, keeps_current: bool) -> None:
    """Make the libraries and the modules.

    Args:
        settings: Paths of the build.
        keeps_current: Whether a folder that is current is kept.

    Raises:
        BuildError: If a step fails.
    """
    with locked_target(settings.target):
        for kind in FOLDER_KINDS:
            folder = kind(settings)
            if not (keeps_current and folder.is_current()):
                folder.make()


def build(settings: BuildSettings) -> str:
    """Make what is not current; return the build that the program states.

    Raises:
        BuildError: If a step fails.
        OSError: If a file can't be read or written.
    """
    check_python()
    # Nothing is written if all is current: the target may be read-only then.
    if not all(kind(settings).is_current() for kind in FOLDER_KINDS):
        make_folders(settings, keeps_current=True)
    try:
        return check_start(settings)
    except BuildError:
        # What was kept may hold bytecode that was cut off.
        make_folders(settings, keeps_current=False)
        return check_start(settings)


def main(arguments: list[str] | None = None) -> int:
    """Run the program.

    Args:
        arguments: Command line without the program's name; `sys.argv` if None.

    Returns:
        The exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--root", type=Path, default=Path.cwd(), help="the checkout")
    options = parser.parse_args(arguments)
    try:
        print(build(BuildSettings(options.root.resolve())))
    except (BuildError, OSError) as error:
        print(f"build failed: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
