"""Passes over exactly the tests that KNOWN-RED.txt lists, and prints them."""

import sys
from pathlib import Path

import pytest
from hypothesis import settings
from loguru import logger

# Examples are the same in every run, so that a verdict is too.
settings.register_profile(
    "deterministic", derandomize=True, database=None, deadline=None
)
settings.load_profile("deterministic")

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


# The fields of a decision explain a failure; the library's own format leaves them out.
LOG_FORMAT = "{time:HH:mm:ss.SSS} {level} {name} {message} {extra}"


@pytest.fixture(autouse=True, scope="session")
def log_fields() -> None:
    """Show the fields of each log line in the output of a failed test."""
    logger.remove()
    logger.add(lambda line: sys.stderr.write(line), format=LOG_FORMAT, diagnose=False)


def read_known_red() -> list[str]:
    """Return the entries; several may be of one test, with different seeds."""
    lines = KNOWN_RED.read_text().splitlines()
    return [line for line in lines if line and not line.startswith("#")]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected to fail."""
    known_red = {entry.split(" | ")[0].strip(): entry for entry in read_known_red()}
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason=known_red[item.nodeid]))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests after every run."""
    for entry in read_known_red():
        terminalreporter.write_line(f"KNOWN RED: {entry}")
