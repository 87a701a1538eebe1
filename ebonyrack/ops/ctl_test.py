import asyncio
import base64
import json
import os
import sys

import pytest
from scramp import ScramMechanism

from ebonyrack.config.edit_test import TEXT
from ebonyrack.core.verifier import MECHANISM
from ebonyrack.ops.exit_status import CommandError
from ebonyrack.ops.exit_status import ExitStatus
from ebonyrack.ops.status import format_groups
from ebonyrack.ops.tables import format_table
from ebonyrack.peers.edit_messages import EditRequest
from ebonyrack.scripts import ctl
from ebonyrack.standins import system as system_module
from ebonyrack.standins.control_plane import Fleet
from ebonyrack.standins.control_plane import wait_until
from ebonyrack.standins.system import System


class Tool:
    """Runs ebonyrackctl commands against a proxy and parses their JSON output."""

    def __init__(self, address, secret, directory, capsys):
        self.directory = directory
        self.capsys = capsys
        (directory / "secret").write_text(secret)
        self.options = ["--proxy", str(address), "--operator", "ada", "--json"]
        self.options += ["--secret-file", str(directory / "secret")]

    async def run(self, *words):
        self.capsys.readouterr()
        arguments = [*self.options, *map(str, words)]
        options = ctl.build_parser().parse_args(arguments)
        try:
            async with asyncio.timeout(30):
                status = await ctl.run_command(options)
        except CommandError as error:
            return error.status, error.text
        return status, json.loads(self.capsys.readouterr().out or "null")

    def write(self, text, name="document.ini"):
        path = self.directory / name
        path.write_text(text)
        return path


@pytest.fixture
async def fleet():
    async with Fleet() as new_fleet:
        for _ in range(3):
            await new_fleet.add()
        await new_fleet.wait_until_connected()
        yield new_fleet


@pytest.fixture
def tool(fleet, tmp_path, capsys):
    return Tool(fleet.planes[0].hub.address, fleet.secret, tmp_path, capsys)


async def test_edits_of_different_sections_merge_and_conflicting_edit_is_refused(
    tool, fleet
):
    status, report = await tool.run("config", "apply", "--wait", tool.write(TEXT))
    assert status == ExitStatus.OK
    assert report["proxies"] == {"proxy-0": 1, "proxy-1": 1, "proxy-2": 1}
    mine, other = tool.directory / "mine.ini", tool.directory / "other.ini"
    for path in (mine, other):
        assert (await tool.run("config", "get", path))[0] == ExitStatus.OK
    mine.write_text(TEXT.replace("user = booking", "user = mine"))
    other.write_text(TEXT.replace("user = calendar", "user = other"))
    assert (await tool.run("config", "apply", mine))[1]["revision"] == 2
    status, report = await tool.run("config", "apply", other, "--wait")
    assert (status, report["revision"]) == (ExitStatus.OK, 3)
    await fleet.wait_for_revision(3)
    assert "user = mine" in fleet.planes[2].state.document.text
    # Both files are up to date now; one with an old base conflicts in its section.
    stale = tool.write(TEXT.replace("user = booking", "user = stale"), "stale.ini")
    (tool.directory / "stale.ini.base").write_text(
        "# ebonyrack document, revision 1\n" + TEXT
    )
    status, report = await tool.run("config", "apply", stale)
    assert status == ExitStatus.REFUSED
    assert "+user = mine" in report["difference"]
    status, history = await tool.run("config", "history")
    assert [edit["revision"] for edit in history] == [3, 2, 1]
    assert history[1]["sections"] == ["application booking"]
    assert (await tool.run("config", "status"))[1]["revision"] == 3


async def test_operator_with_a_verifier_must_authenticate(tool, fleet):
    verifier = make_verifier("open sesame")
    text = TEXT.replace("[operator ben]", f"verifier = {verifier}\n[operator ben]")
    assert (await tool.run("config", "apply", tool.write(text)))[0] == ExitStatus.OK
    changed = tool.write(text.replace("user = booking", "user = new"))
    status, report = await tool.run("config", "apply", changed)
    assert status == ExitStatus.REFUSED
    for password, expected in (("wrong", ExitStatus.REFUSED), ("open sesame", 0)):
        path = tool.write(password, "password")
        words = ("--password-file", path, "config", "apply", changed)
        assert (await tool.run(*words))[0] == expected


def make_verifier(password):
    salt, stored, server, iterations = ScramMechanism(MECHANISM).make_auth_info(
        password, iteration_count=4096
    )
    parts = [encode(part) for part in (salt, stored, server)]
    return f"{MECHANISM}${iterations}:{parts[0]}${parts[1]}:{parts[2]}"


def encode(data):
    return base64.b64encode(data).decode()


async def test_repeat_with_edit_id_resolves_unknown_outcome(tool, fleet):
    await tool.run("config", "apply", tool.write(TEXT))
    link_closed = []

    async def cut_link(link, message):
        link_closed.append(message.edit_id)
        link.close()

    callbacks = fleet.planes[0].hub.handlers[EditRequest]
    callbacks.append(cut_link)
    changed = tool.write(TEXT.replace("user = booking", "user = new"))
    status, report = await tool.run("config", "apply", changed)
    assert (status, report["outcome"]) == (ExitStatus.UNKNOWN, "unknown")
    callbacks.remove(cut_link)
    words = ("config", "apply", changed, "--edit-id", report["edit_id"])
    status, report = await tool.run(*words)
    assert (status, report["revision"]) == (ExitStatus.OK, 2)


async def test_lost_reply_is_resolved_through_another_proxy(tool, fleet):
    await tool.run("config", "apply", tool.write(TEXT))
    await fleet.wait_for_revision(1)

    async def cut_link(link, message):
        link.close()

    fleet.planes[0].hub.handlers[EditRequest].append(cut_link)
    tool.options += ["--proxy", str(fleet.planes[1].hub.address)]
    changed = tool.write(TEXT.replace("user = booking", "user = new"))
    status, report = await tool.run("config", "apply", changed)
    assert (status, report["revision"]) == (ExitStatus.OK, 2)
    assert len(fleet.planes[1].state.stored.history) == 2


async def test_edit_is_not_accepted_while_store_is_down(tool, fleet):
    await tool.run("config", "apply", tool.write(TEXT))
    await fleet.platform.stop()
    changed = tool.write(TEXT.replace("user = booking", "user = new"))
    words = ("config", "apply", changed, "--limit", "0.5")
    status, report = await tool.run(*words)
    assert (status, report["outcome"]) == (ExitStatus.NOT_ACCEPTED, "not_accepted")


async def test_document_is_read_and_changed_directly_in_the_store(tool, fleet):
    tool.options += ["--store", str(fleet.platform.address)]
    status, report = await tool.run("config", "apply", tool.write(TEXT))
    assert (status, report["revision"]) == (ExitStatus.OK, 1)
    await fleet.wait_for_revision(1)
    status, report = await tool.run("config", "get", "--section", "group a")
    assert report["text"].startswith("[group a]\n")
    await fleet.platform.stop()
    assert (await tool.run("config", "get"))[0] == ExitStatus.UNREACHABLE


async def test_editor_changes_one_section(tool, fleet, monkeypatch):
    await tool.run("config", "apply", tool.write(TEXT))
    monkeypatch.setenv("EDITOR", "sed -i s/calendars/timetables/")
    status, report = await tool.run(
        "config", "edit", "--section", "application booking"
    )
    assert (status, report["outcome"]) == (ExitStatus.OK, "unchanged")
    section = "application calendar"
    status, report = await tool.run("config", "edit", "--section", section)
    assert (status, report["sections"]) == (ExitStatus.OK, [section])


async def test_exit_status_of_invalid_documents_and_unreachable_proxies(tool, fleet):
    bad = tool.write(TEXT.replace("groups = a", "groups = b"), "bad.ini")
    status, report = await tool.run("check", bad)
    assert (status, len(report["faults"])) == (ExitStatus.REFUSED, 2)
    assert (await tool.run("config", "apply", bad))[0] == ExitStatus.REFUSED
    assert (await tool.run("check", "nowhere.ini"))[0] == ExitStatus.USAGE
    assert (await tool.run("check", tool.write(TEXT)))[0] == ExitStatus.OK
    tool.options[1] = "127.0.0.1:1"
    assert (await tool.run("config", "status"))[0] == ExitStatus.UNREACHABLE


async def test_wrong_secret_is_rejected_by_proxies(tool, fleet):
    tool.write("another secret", "secret")
    assert (await tool.run("config", "get"))[0] == ExitStatus.UNREACHABLE


async def test_status_switchover_and_drain(tmp_path, capsys):
    async with System(proxies=2) as system:
        proxies = list(system.proxies.values())
        await wait_until(
            lambda: all(len(p.hub.membership.live_members()) == 2 for p in proxies)
        )
        secret = proxies[0].settings.peers.secret
        tool = Tool(proxies[0].hub.address, secret, tmp_path, capsys)
        status, report = await tool.run("status")
        assert [member["state"] for member in report["members"]] == ["alive"] * 2
        group = report["groups"][system_module.GROUP]
        status, groups = await tool.run("groups", system_module.GROUP)
        assert len(groups[system_module.GROUP]["upstreams"]) == 3
        assert (await tool.run("groups", "nothing"))[0] == ExitStatus.REFUSED
        assert (await tool.run("sessions"))[1] == []
        other = next(
            name
            for name in groups[system_module.GROUP]["upstreams"]
            if name != group["primary"]
        )
        words = ("switchover", system_module.GROUP, "--to", other)
        status, report = await tool.run(*words)
        assert status == ExitStatus.OK, report
        status, report = await tool.run("drain", "proxy-2")
        assert status == ExitStatus.OK
        assert await system.serve_tasks["proxy-2"] == 0


OPERATORS = """
[operator ada]
acts_for = administrators
[operator ben]
acts_for = booking
"""


async def test_proxy_commands_are_refused_to_operators_of_other_owners(
    tmp_path, capsys
):
    async with System(proxies=1, operators=OPERATORS) as system:
        (proxy,) = system.proxies.values()
        secret = proxy.settings.peers.secret
        tool = Tool(proxy.hub.address, secret, tmp_path, capsys)
        for name in ("ben", "eve"):
            tool.options[3] = name
            for words in (("switchover", system_module.GROUP), ("drain", "proxy-1")):
                status, report = await tool.run(*words)
                assert status == ExitStatus.REFUSED
                assert repr(name) in report["text"]
        assert not proxy.drain.is_draining
        tool.options[3] = "ada"
        assert (await tool.run("drain", "proxy-1"))[0] == ExitStatus.OK


@pytest.mark.parametrize(
    "text, expected",
    [(TEXT, ExitStatus.OUTPUT_CLOSED), ("[nothing]", ExitStatus.REFUSED)],
)
def test_closed_output_pipe_ends_the_command_without_traceback(
    tmp_path, monkeypatch, capsys, text, expected
):
    path = tmp_path / "document.ini"
    path.write_text(text)
    reader, writer = os.pipe()
    os.close(reader)
    with os.fdopen(writer, "w") as stdout:
        monkeypatch.setattr(sys, "stdout", stdout)
        assert ctl.main(["check", str(path)]) == expected
        # The interpreter flushes at exit.
        stdout.flush()
    assert capsys.readouterr().err == ""


def test_groups_table_shows_requests_waiting_for_a_primary():
    group = {"term": 4, "primary": "", "connection_share": 20}
    groups = {"b": group | {"waiting_for_primary": 17}, "a": group}
    titles, first, second = format_groups(groups).splitlines()
    assert titles.endswith("SHARE  WAITING FOR PRIMARY")
    # An older proxy doesn't report the number.
    assert first.split() == ["a", "4", "no", "20"]
    assert second.split() == ["b", "4", "no", "20", "17"]


def test_table_columns_are_aligned():
    assert format_table(["A", "B"], [("long", 1), ("x", 22)]) == (
        "A     B\nlong  1\nx     22"
    )
    assert format_table(["A"], []) == "(none)"
