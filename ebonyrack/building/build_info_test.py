"""Processes name the build that they run, or say why it can't be loaded."""

import json
import os
import subprocess
import sys
from importlib.machinery import EXTENSION_SUFFIXES
from pathlib import Path

import pytest

from ebonyrack import __version__
from ebonyrack.building import build_info
from ebonyrack.building.build import digest_modules
from ebonyrack.core import logs
from ebonyrack.scripts import route_daemon

MODULES = digest_modules(build_info.PACKAGE)[: build_info.SHOWN_DIGITS]


def write_record(folder, **made_from):
    (folder / "build.json").write_text(json.dumps({"made_from": made_from}))


def test_version_option_names_the_build():
    ended = subprocess.run(
        [sys.executable, "-m", "ebonyrack.scripts.route_daemon", "--version"],
        capture_output=True,
        text=True,
        check=True,
    )
    version, *fields = ended.stdout.split()
    values = dict(field.split("=") for field in fields)
    assert version == __version__
    assert values["modules"] == MODULES
    assert values["machine"] == os.uname().machine
    assert sorted(values) == ["libraries", "machine", "modules", "python"]


def test_digest_of_the_modules_depends_on_paths_and_contents_only(tmp_path):
    (tmp_path / "one.py").write_text("ONE = 1\n")
    first = digest_modules(tmp_path)
    (tmp_path / "one_test.py").touch()
    os.utime(tmp_path / "one.py", (0, 0))
    assert digest_modules(tmp_path) == first
    (tmp_path / "one.py").rename(tmp_path / "two.py")
    assert digest_modules(tmp_path) != first


def test_recorded_digest_is_used_where_it_is_known(tmp_path, monkeypatch):
    monkeypatch.setattr(build_info, "PACKAGE", tmp_path)
    write_record(tmp_path, modules="0123456789abcdef")
    assert build_info.read_build_info().modules == "0123456789ab"
    actual = build_info.read_build_info(is_recorded=False)
    assert actual.modules != "0123456789ab"


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"made_from": 3}', "{"])
def test_malformed_record_is_ignored(tmp_path, text):
    (tmp_path / "build.json").write_text(text)
    assert build_info.read_made_from(tmp_path) == {}


def test_start_and_changed_modules_are_logged(monkeypatch):
    lines = []

    class Writer:
        def put(self, line):
            lines.append(json.loads(line))

    monkeypatch.setattr(logs, "writer", Writer())
    logs.start_logging(route_daemon.LogArguments("info", 1.0), "proxy-1")
    built = build_info.read_build_info()
    route_daemon.check_modules(built)
    assert lines == []
    built.modules = "0123456789ab"
    route_daemon.check_modules(built)
    (line,) = lines
    assert line["event"] == "modules_changed_after_build"
    assert (line["built"], line["present"]) == ("0123456789ab", MODULES)


@pytest.mark.parametrize(
    "made_from, expected",
    [
        ({}, "the build is incomplete"),
        (
            {"python": EXTENSION_SUFFIXES[0], "machine": "another"},
            f"built for another, runs on {os.uname().machine}",
        ),
    ],
)
def test_program_that_can_not_be_loaded_says_why(tmp_path, made_from, expected):
    (tmp_path / "ebonyrack").symlink_to(build_info.PACKAGE)
    write_record(tmp_path, **made_from)
    ended = subprocess.run(
        [sys.executable, "-S", "-P", "-m", "ebonyrack.scripts.start_route_daemon"],
        env={"PYTHONPATH": str(tmp_path), "PYTHONDONTWRITEBYTECODE": "1"},
        cwd=Path(os.sep),
        capture_output=True,
        text=True,
    )
    assert ended.returncode == 3
    (text,) = ended.stderr.splitlines()
    line = json.loads(text)
    assert line["event"] == "build_not_loaded"
    assert line["build"] == expected
    assert "No module named" in line["reason"]
