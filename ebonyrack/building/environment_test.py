"""The developers' environment is whole and runs the checkout, whatever was there."""

import json
import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from ebonyrack.building import environment
from ebonyrack.building.conftest import LIBRARY
from ebonyrack.building.conftest import write_wheel

ROOT = Path(__file__).parents[2]
CURRENT = "library-1 part-1"
TIME_S = 1_700_000_000
PROJECT = """
[build-system]
requires = []
build-backend = "backend"
backend-path = ["."]
"""
# Installs nothing but a line in the list of installed projects.
BACKEND = """
import zipfile

FILES = {"METADATA": "Metadata-Version: 2.1\\nName: project\\nVersion: 1\\n",
         "WHEEL": "Wheel-Version: 1.0\\nRoot-Is-Purelib: true\\nTag: py3-none-any\\n",
         "RECORD": ""}


def build_editable(folder, config_settings=None, metadata_directory=None):
    with zipfile.ZipFile(f"{folder}/project-1-py3-none-any.whl", "w") as file:
        for name, content in FILES.items():
            file.writestr(f"project-1.dist-info/{name}", content)
    return "project-1-py3-none-any.whl"
"""


@pytest.fixture
def developed(checkout):
    """Return a small checkout for which an environment can be set up."""
    checkout.write("requirements.lock", f"{LIBRARY}==1.0\n")
    checkout.write("pyproject.toml", PROJECT)
    checkout.write("backend.py", BACKEND)
    checkout.write("demo/show.py", "")
    return checkout


def set_up(checkout, folder=".venv"):
    """Set the environment up as the Makefile does; return how that ended."""
    words = f"-B -X pycache_prefix={checkout.root}/unused -m".split()
    return subprocess.run(
        [sys.executable, *words, "ebonyrack.building.environment", folder]
        + ["--root", str(checkout.root)],
        cwd=ROOT if os.path.isabs(folder) else checkout.root,
        env={**checkout.get_environment(), "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
    )


def run_program(checkout):
    """Run the program of the checkout in its environment; return its last line."""
    ended = subprocess.run(
        [".venv/bin/python", "-m", "ebonyrack.program"],
        cwd=checkout.root,
        env={"PATH": os.environ["PATH"]},
        capture_output=True,
        text=True,
    )
    return (ended.stdout or ended.stderr).strip().splitlines()[-1]


def check_set_up(checkout, expected=CURRENT):
    ended = set_up(checkout)
    assert ended.returncode == 0, ended.stderr
    assert run_program(checkout) == expected


def test_environment_is_set_up_and_kept(developed):
    check_set_up(developed)
    shutil.rmtree(developed.wheels)
    check_set_up(developed)


# Guards against an environment that is taken as ready by the time of a file.
@pytest.mark.parametrize("state", ["python", "machine", "half", "record", "lock"])
def test_environment_that_does_not_fit_is_made_afresh(developed, state):
    check_set_up(developed)
    folder, expected = developed.root / ".venv", CURRENT
    record = json.loads((folder / "build.json").read_text())
    if state == "record":
        (folder / "build.json").unlink()
    elif state == "half":
        shutil.rmtree(next(folder.glob(f"lib/python*/site-packages/{LIBRARY}")))
    elif state == "lock":
        write_wheel(developed.wheels, "2.0", "library-2")
        developed.write("requirements.lock", f"{LIBRARY}==2.0\n")
        os.utime(developed.root / "requirements.lock", (TIME_S, TIME_S))
        expected = "library-2 part-1"
    else:
        record["made_from"][state] = "another"
        (folder / "build.json").write_text(json.dumps(record))
    (folder / "left-over").touch()
    check_set_up(developed, expected)
    assert not (folder / "left-over").exists()


# Guards against bytecode of an earlier version in a tree whose files have one time.
def test_no_bytecode_of_an_earlier_version_runs(developed):
    developed.set_times(TIME_S)
    check_set_up(developed)
    developed.write("ebonyrack/part.py", "PART = 'part-2'\n")
    developed.set_times(TIME_S)
    check_set_up(developed, "library-1 part-2")
    # The bytecode of other modules stays.
    assert list(developed.root.glob("ebonyrack/__pycache__/__init__.*.pyc"))


def test_failed_install_is_reported_and_not_taken_as_ready(developed):
    shutil.rmtree(developed.wheels)
    for _ in range(2):
        ended = set_up(developed)
        assert ended.returncode == 1
        assert "setting up" in ended.stderr and "-m pip install" in ended.stderr


def test_folder_that_is_no_environment_is_left_alone(developed, tmp_path):
    folder = tmp_path / "documents"
    folder.mkdir()
    (folder / "letter").touch()
    ended = set_up(developed, str(folder))
    assert ended.returncode == 1 and "is no virtual environment" in ended.stderr
    assert (folder / "letter").exists()


def test_environment_of_another_checkout_is_made_afresh(developed):
    check_set_up(developed)
    moved = developed.root.with_name("moved")
    developed.root.rename(moved)
    developed.root = moved
    check_set_up(developed)
    record = json.loads((moved / ".venv/build.json").read_text())
    assert record["made_from"]["checkout"] == str(moved)


def test_python_that_is_too_old_is_reported(developed, monkeypatch, capsys):
    monkeypatch.setattr(sys, "version_info", (3, 10, 12))
    status = environment.main([".venv", "--root", str(developed.root)])
    assert status == 1
    assert "Python 3.11 or later is needed" in capsys.readouterr().err
