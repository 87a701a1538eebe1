import json

import pytest

from ebonyrack.config.stored import DOCUMENT_KEY
from ebonyrack.config.stored import unpack_stored
from ebonyrack.core.address import Address
from ebonyrack.load import experiments
from ebonyrack.load.bootstrap import put_document
from ebonyrack.load.cluster import Cluster
from ebonyrack.load.cluster import is_healthy
from ebonyrack.load.cluster import set_group_keys
from ebonyrack.load.context import EXPERIMENTS
from ebonyrack.load.failover_gap import PRIMARY_FAULTS
from ebonyrack.load.failover_gap import find_gap_phases
from ebonyrack.load.leaving_time import LEAVING_SOURCES
from ebonyrack.load.leaving_time import find_work_times
from ebonyrack.load.report import draw_report
from ebonyrack.load.results import format_rows
from ebonyrack.load.results import read_results
from ebonyrack.load.results import write_results
from ebonyrack.standins.control import FaultControl
from ebonyrack.standins.group import StandinGroup
from ebonyrack.standins.platform import StandinPlatform


def build_text(group):
    specs = " ".join(f"{spec.name}={spec.address}@dc-1" for spec in group.specs())
    return f"[group booking]\nowner = db\nupstreams = {specs}\n"


def test_every_experiment_is_registered():
    assert set(experiments.__all__) <= set(EXPERIMENTS.entries)


def test_set_group_keys_changes_only_the_named_group():
    text = set_group_keys("[group a]\nx = 1\n[group b]\nx = 1\n", "a", {"x": "2"})
    assert text.split() == "[group a] x = 2 [group b] x = 1".split()


@pytest.fixture
async def standins(monkeypatch):
    """A group, a platform with its document, and the cluster that controls both."""
    monkeypatch.setattr("ebonyrack.load.cluster.PROPAGATION_WAIT_S", 0.0)
    async with StandinGroup() as group, StandinPlatform() as platform:
        control = FaultControl(group, Address("127.0.0.1", 0))
        text = build_text(group)
        await put_document(platform.address, "ebonyrack", text)
        async with (
            control,
            Cluster(control.address, platform.address, text) as cluster,
        ):
            yield group, platform, cluster


async def test_faults_are_injected_and_reverted(standins):
    group, platform, cluster = standins
    await cluster.wait_until_healthy()
    assert await cluster.find_primary() == "up-1"
    await cluster.change_group(slots=7)
    await cluster.change_group(slots=8)
    for fault in ("freeze", "cut", "cut_replicas", "kill"):
        async with PRIMARY_FAULTS.get(fault)(cluster, "up-1"):
            status = await cluster.read_status()
            assert status["up-1"]["is_running"] == (fault != "kill")
    faults = group["up-1"].faults
    assert not faults.is_frozen and not faults.cut_to
    # The killed primary restarted as a replica without a primary to follow.
    assert not is_healthy(await cluster.read_status())


async def test_each_source_marks_an_upstream_as_leaving_and_reverts_it(standins):
    group, platform, cluster = standins
    for source in LEAVING_SOURCES.entries:
        async with LEAVING_SOURCES.get(source)(cluster, "up-2"):
            assert read_leaving_sources(group, platform) == {source}
        assert read_leaving_sources(group, platform) == set()


def read_leaving_sources(group, platform):
    entries = platform.state.entries
    stored = next(key for key in entries if key.endswith(DOCUMENT_KEY))
    document = unpack_stored(entries[stored].value).text
    listed = [node.name for node in platform.state.nodes if node.state == "leaving"]
    announced = {
        "document": "leaving = up-2" in document,
        "vm_list": listed == ["up-2"],
        "upstream": group["up-2"].leaving,
    }
    return {source for source, is_announced in announced.items() if is_announced}


def test_work_of_an_upstream_is_found_in_the_proxy_log(tmp_path):
    path = tmp_path / "proxy.log"
    lines = [
        {"event": "read_placed", "upstream": "up-1"},
        {"event": "read_placed", "upstream": "up-2"},
        {"event": "write_acknowledged", "upstream": "up-1"},
        {"event": "member_changed", "peer": "read_placed"},
    ]
    written = [
        json.dumps({**line, "time": f"2026-01-01T00:00:0{second}+00:00"})
        for second, line in enumerate(lines)
    ]
    path.write_text("\n".join(written), encoding="utf-8")
    first, last = find_work_times((path,), "up-1")
    assert last - first == 2.0


def test_gap_phases_come_from_the_first_ballot_won_after_the_fault(tmp_path):
    path = tmp_path / "proxy.log"
    lines = [
        {"time": "2026-01-01T00:00:01+00:00", "won": True, "fence_s": 1.0},
        {"time": "2026-01-01T00:00:03+00:00", "won": False, "fence_s": 2.0},
        {"time": "2026-01-01T00:00:05+00:00", "won": True, "fence_s": 3.0},
    ]
    text = "\n".join(json.dumps({"event": "ballot", **line}) for line in lines)
    path.write_text(text + "\nTraceback: not JSON\n")
    after_s = 1767225602.0
    assert find_gap_phases((path,), after_s)["fence_s"] == 3.0
    assert find_gap_phases((path,), after_s + 60)["fence_s"] is None


def test_results_are_read_back_and_formatted_as_a_table(tmp_path):
    rows = [{"a": 1, "b": None}, {"a": 0.123456, "b": "x"}]
    header, read = read_results(write_results(tmp_path, "name", rows))
    assert read == rows and header["processors"]
    assert format_rows(rows).splitlines()[-1] == "| 0.1235 | x |"


def test_report_draws_a_plot_of_each_result(tmp_path):
    row = {"policy": "majority", "fault": "kill", "store_up": True, "gap_s": 0.1}
    write_results(tmp_path, "failover_gap", [row])
    write_results(tmp_path, "unknown", [row])
    names = ("attempts", "arrivals", "acknowledged", "queue", "executing")
    series = {"series": {name: [1.0, 2.0] for name in names}, "retries": "as told"}
    write_results(tmp_path, "failover_queue", [{**row, **series}])
    assert "series" not in format_rows([{**row, **series}])
    drawn = draw_report(tmp_path, tmp_path / "plots")
    assert {path.name for path in drawn} == {"failover_gap.png", "failover_queue.png"}
    assert all(path.stat().st_size > 0 for path in drawn)
