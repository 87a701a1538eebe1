"""Fixtures: a small checkout with a library, built and run as the deploy file says."""

import os
import subprocess
import sys
import tomllib
import zipfile
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
LIBRARY = "smalllib"
PROGRAM = f"""
import sys

from {LIBRARY} import VALUE

from ebonyrack.part import PART

print(VALUE, PART)
"""
DEPLOY = """
[roles.proxy]
run = "{run}"
"""


def write_wheel(folder: Path, version: str, value: str) -> None:
    """Write a wheel of the library with a value in its only module."""
    info = f"{LIBRARY}-{version}.dist-info"
    files = {
        f"{LIBRARY}/__init__.py": f"VALUE = {value!r}\n",
        f"{info}/METADATA": f"Metadata-Version: 2.1\nName: {LIBRARY}\n"
        f"Version: {version}\n",
        f"{info}/WHEEL": "Wheel-Version: 1.0\nRoot-Is-Purelib: true\n"
        "Tag: py3-none-any\n",
    }
    record = "".join(f"{name},,\n" for name in (*files, f"{info}/RECORD"))
    files[f"{info}/RECORD"] = record
    with zipfile.ZipFile(folder / f"{LIBRARY}-{version}-py3-none-any.whl", "w") as file:
        for name, content in files.items():
            file.writestr(name, content)


class Checkout:
    """A small checkout with the project's build and run commands.

    Attributes:
        root: Folder of the checkout.
        wheels: Folder of the libraries that can be installed.
    """

    def __init__(self, folder: Path) -> None:
        self.root = folder / "checkout"
        self.wheels = folder / "wheels"
        self.wheels.mkdir()
        write_wheel(self.wheels, "1.0", "library-1")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.build_command = deploy["build"]
        words = deploy["roles"]["proxy"]["run"].split()
        self.run_words = [*words[: words.index("-m") + 1], "ebonyrack.program"]
        self.write("deploy/requirements.txt", f"{LIBRARY}==1.0\n")
        self.write("deploy/system.toml", DEPLOY.format(run=" ".join(self.run_words)))
        self.write("ebonyrack/__init__.py", "")
        self.write("ebonyrack/program.py", PROGRAM)
        self.write("ebonyrack/part.py", "PART = 'part-1'\n")
        script = (ROOT / "ebonyrack/building/build.py").read_text()
        self.write("ebonyrack/building/__init__.py", "")
        self.write("ebonyrack/building/build.py", script)

    @property
    def libraries(self) -> Path:
        """Folder of the installed libraries."""
        return self.root / "target/deps"

    def write(self, path: str, content: str) -> None:
        """Write a file below the checkout."""
        (self.root / path).parent.mkdir(parents=True, exist_ok=True)
        (self.root / path).write_text(content)

    def set_times(self, time_s: float) -> None:
        """Give all files and folders one time of change."""
        for folder, _, names in os.walk(self.root):
            for path in (folder, *(os.path.join(folder, name) for name in names)):
                os.utime(path, (time_s, time_s), follow_symlinks=False)

    def get_environment(self) -> dict[str, str]:
        """Return the environment in which commands run, without package index."""
        return {
            "PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}",
            "HOME": str(self.root.parent),
            "PIP_NO_INDEX": "1",
            "PIP_FIND_LINKS": str(self.wheels),
            "PIP_CONFIG_FILE": os.devnull,
        }

    def build(self) -> subprocess.CompletedProcess[str]:
        """Run the build of the deploy file; return how it ended."""
        return subprocess.run(
            self.build_command,
            shell=True,
            cwd=self.root,
            env=self.get_environment(),
            capture_output=True,
            text=True,
        )

    def run(self) -> str:
        """Run the program; return what it printed, or its last line of error."""
        environment = {**self.get_environment(), "PYTHONPATH": str(self.libraries)}
        ended = subprocess.run(
            self.run_words,
            cwd=self.root,
            env=environment,
            capture_output=True,
            text=True,
        )
        lines = (ended.stdout or ended.stderr).strip().splitlines()
        return lines[-1] if lines else ""


@pytest.fixture
def checkout(tmp_path: Path) -> Checkout:
    """Return a small checkout that was not built yet."""
    return Checkout(tmp_path)
