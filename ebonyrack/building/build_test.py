"""What runs is what is in the checkout, whatever state an earlier build left."""

import compileall
import json
import os
import shutil
import sys

import pytest

from ebonyrack.building import build
from ebonyrack.building.build_info import read_made_from
from ebonyrack.building.conftest import LIBRARY
from ebonyrack.building.conftest import write_wheel

CURRENT = "library-1 part-1"
# A fixed time, as archives and reproducible copies give all files.
TIME_S = 1_700_000_000


def check_built(checkout, expected=CURRENT):
    ended = checkout.build()
    assert ended.returncode == 0, ended.stderr
    assert checkout.run() == expected


def change_record(folder, **changes):
    path = folder / "build.json"
    record = json.loads(path.read_text())
    record["made_from"].update(changes)
    path.write_text(json.dumps(record))


def test_fresh_checkout_is_built(checkout):
    check_built(checkout)
    machine = os.uname().machine
    for folder in (checkout.libraries, checkout.libraries / "ebonyrack"):
        assert read_made_from(folder)["machine"] == machine


# Guards against bytecode of an earlier version: a tree was updated by files with the
# same times, and old and new modules ran together.
def test_no_bytecode_of_an_earlier_version_runs(checkout):
    checkout.set_times(TIME_S)
    check_built(checkout)
    # Other programs compile what they find, as the platform does.
    compileall.compile_dir(checkout.root, quiet=1)
    checkout.write("ebonyrack/part.py", "PART = 'part-2'\n")
    checkout.set_times(TIME_S)
    check_built(checkout, "library-1 part-2")


def test_bytecode_of_the_build_is_valid_for_the_contents_only(checkout):
    checkout.set_times(TIME_S)
    check_built(checkout)
    checkout.write("ebonyrack/part.py", "PART = 'part-2'\n")
    checkout.set_times(TIME_S)
    assert checkout.run() == "library-1 part-2"


def test_added_and_removed_modules_follow_the_checkout(checkout):
    check_built(checkout)
    checkout.write("ebonyrack/more.py", "PART = 'more'\n")
    checkout.write("ebonyrack/part.py", "from ebonyrack.more import PART\n")
    check_built(checkout, "library-1 more")
    (checkout.root / "ebonyrack/more.py").unlink()
    checkout.write("ebonyrack/part.py", "PART = 'part-1'\n")
    check_built(checkout)
    assert not (checkout.libraries / "ebonyrack/more.py").is_symlink()


# Guards against libraries of another machine or Python that were carried over: the
# build succeeded since their folder was newer than the list of libraries.
def test_libraries_that_were_made_elsewhere_are_installed_afresh(checkout):
    check_built(checkout)
    shutil.rmtree(checkout.libraries)
    path = f"target/deps/{LIBRARY}/__init__.py"
    checkout.write(path, "raise ImportError('made for another machine')\n")
    check_built(checkout)


@pytest.mark.parametrize("name", ["python", "machine"])
def test_libraries_recorded_for_another_platform_are_installed_afresh(checkout, name):
    check_built(checkout)
    change_record(checkout.libraries, **{name: "another"})
    (checkout.libraries / "left-over").touch()
    check_built(checkout)
    assert not (checkout.libraries / "left-over").exists()


# Guards against an install that was cut off, which the build took for a whole one.
def test_libraries_that_are_incomplete_are_installed_afresh(checkout):
    check_built(checkout)
    (checkout.libraries / LIBRARY / "__init__.py").unlink()
    check_built(checkout)


def test_bytecode_that_was_cut_off_is_made_again(checkout):
    check_built(checkout)
    for path in checkout.libraries.rglob("*.pyc"):
        path.write_bytes(path.read_bytes()[:20])
    check_built(checkout)


def test_folder_of_a_build_that_was_killed_is_not_used(checkout):
    checkout.write(f"target/staging-0/deps/{LIBRARY}/__init__.py", "VALUE = 'old'\n")
    check_built(checkout)
    assert not (checkout.root / "target/staging-0").exists()


# Guards against a build that needs to write beside the sources.
def test_nothing_is_written_beside_the_sources(checkout):
    for folder in ("ebonyrack", "ebonyrack/building"):
        checkout.write(f"{folder}/__pycache__", "")
    before = sorted((checkout.root / "ebonyrack").rglob("*"))
    check_built(checkout)
    assert sorted((checkout.root / "ebonyrack").rglob("*")) == before


# Guards against a changed list of libraries whose file is older than the folder.
def test_changed_requirements_are_installed_whatever_their_time(checkout):
    check_built(checkout)
    write_wheel(checkout.wheels, "2.0", "library-2")
    checkout.write("deploy/requirements.txt", f"{LIBRARY}==2.0\n")
    os.utime(checkout.root / "deploy/requirements.txt", (TIME_S, TIME_S))
    check_built(checkout, "library-2 part-1")


# Guards against a failed install that was not the build's failure.
def test_failed_install_fails_the_build(checkout):
    shutil.rmtree(checkout.wheels)
    ended = checkout.build()
    assert ended.returncode != 0
    assert "build failed: the libraries can't be installed" in ended.stderr
    assert not checkout.libraries.exists()


def test_failed_install_leaves_the_present_libraries(checkout):
    check_built(checkout)
    checkout.write("deploy/requirements.txt", f"{LIBRARY}==9.0\n")
    assert checkout.build().returncode != 0
    assert checkout.run() == CURRENT


def test_second_build_installs_nothing(checkout):
    check_built(checkout)
    shutil.rmtree(checkout.wheels)
    check_built(checkout)


def test_second_build_writes_nothing(checkout):
    check_built(checkout)
    # In its place no file can be opened for writing, as in a target that is read-only.
    (checkout.root / "target/build.lock").unlink()
    (checkout.root / "target/build.lock").mkdir()
    check_built(checkout)


def test_program_that_does_not_start_fails_the_build(checkout):
    checkout.write("ebonyrack/part.py", "PART = undefined\n")
    ended = checkout.build()
    assert ended.returncode != 0
    assert "build failed: what was built does not start: NameError" in ended.stderr


def test_module_that_can_not_be_compiled_fails_the_build(checkout):
    checkout.write("ebonyrack/more.py", "PART = \n")
    ended = checkout.build()
    assert ended.returncode != 0
    assert "a module of the project can't be compiled" in ended.stderr


def test_tree_that_was_moved_runs(checkout):
    check_built(checkout)
    moved = checkout.root.with_name("moved")
    checkout.root.rename(moved)
    checkout.root = moved
    assert checkout.run() == CURRENT
    check_built(checkout)


def test_target_may_be_a_link_to_another_place(checkout, tmp_path):
    (tmp_path / "some/other/place").mkdir(parents=True)
    (checkout.root / "target").symlink_to(tmp_path / "some/other/place")
    check_built(checkout)


def test_python_that_is_too_old_fails_the_build(checkout, monkeypatch):
    monkeypatch.setattr(sys, "version_info", (3, 10, 12))
    with pytest.raises(build.BuildError, match=r"Python 3\.11 or later is needed"):
        build.build(build.BuildSettings(checkout.root))
