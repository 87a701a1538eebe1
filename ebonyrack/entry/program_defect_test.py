"""An error of the program's own code doesn't look like a malformed document."""

import asyncio
import json

import pytest
from loguru import logger

from ebonyrack.core import logs
from ebonyrack.core.decoding import ProgramDefectError
from ebonyrack.entry.accounts_test import build_version
from ebonyrack.platform import account_entries
from ebonyrack.platform import member_entries
from ebonyrack.platform import route_document
from ebonyrack.store.leasing_store import StoreItem

ENTRY = {
    "service": "scheduling",
    "address": "127.0.0.1:1",
    "zone": "bkk-a",
    "slots": 3,
    "phase": "ready",
    "dbRole": "replica",
}


class Options:
    level = "info"
    decision_sampling = 1.0


@pytest.fixture
def log_lines(monkeypatch):
    class Writer:
        def put(self, line):
            lines.append(json.loads(line))

    lines = []
    monkeypatch.setattr(logs, "writer", Writer())
    logs.start_logging(Options(), "proxy-0")
    yield lines
    logger.remove()


def build_nothing(*values, **fields):
    raise TypeError("Unexpected keyword argument 'startup_timeout_s'")


# Guards against modules of two versions that run together: the configuration was
# rejected as invalid for ever, with a TypeError as the only hint.
async def test_defect_is_logged_once_with_its_traceback(system, log_lines, monkeypatch):
    with monkeypatch.context() as patched:
        patched.setattr(route_document, "RouteTable", build_nothing)
        for version in (2, 3):
            await system.publish_document(build_version(version, {}))
            await asyncio.sleep(0.3)
    lines = [each for each in log_lines if each["event"] == "routes_not_read_by_defect"]
    assert len(lines) == 1
    assert "startup_timeout_s" in lines[0]["exception"]
    assert lines[0]["level"] == "critical"
    assert not any(each["event"] == "routes_rejected" for each in log_lines)
    # The reader goes on: the next version is in force.
    await system.change_document(build_version(4, {}))


@pytest.mark.parametrize(
    "module, name",
    [
        (route_document, "Route"),
        (route_document, "GroupLimits"),
        (route_document, "RouteTable"),
        (account_entries, "ClientAccount"),
    ],
)
def test_defects_of_parts_are_told_from_malformed_ones(monkeypatch, module, name):
    value = json.dumps(build_version(2, {"bode960": ["secret"]})).encode()
    assert route_document.decode_document(value).is_ok()
    monkeypatch.setattr(module, name, build_nothing)
    with pytest.raises(ProgramDefectError):
        route_document.decode_document(value)


def test_defect_in_an_entry_is_told_from_a_malformed_one(monkeypatch):
    item = StoreItem("servers/up-1", json.dumps(ENTRY).encode(), 7, 7)
    assert member_entries.decode_entry(item).is_ok()
    monkeypatch.setattr(member_entries, "MemberEntry", build_nothing)
    with pytest.raises(ProgramDefectError):
        member_entries.decode_entry(item)
