import pytest

from ebonyrack.config.document import parse_document
from ebonyrack.core.address import Address
from ebonyrack.load.control_host import HostOptions
from ebonyrack.load.control_host import run_host
from ebonyrack.load.control_plane import Measurement
from ebonyrack.load.control_plane import build_document_text
from ebonyrack.load.control_plane import measure_usage
from ebonyrack.standins.platform import StandinPlatform


def build_measurement(logs, victim_log):
    return Measurement(
        Address("127.0.0.1", 1),
        "127.0.0.1",
        3,
        2,
        logs,
        victim_log,
        edits=1,
        idle_s=1.0,
    )


@pytest.mark.parametrize("groups", [1, 3, 430])
def test_the_measured_document_is_valid(groups):
    document, errors = parse_document(build_document_text(groups, 5), 1)
    assert errors == ()
    assert len(document.groups) == groups
    assert document.groups["group-0"].slots == 5


def test_usage_is_the_mean_rate_of_a_window(tmp_path):
    log, victim_log = tmp_path / "host.out", tmp_path / "victim.out"
    victim_log.write_text("")
    line = (
        '{{"event": "usage", "at_s": {0}, "bytes_sent": {1}, "bytes_received": 0,'
        ' "messages_sent": 0, "store_calls": 0, "processor_s": {0}}}\n'
    )
    log.write_text(line.format(1.0, 0) + line.format(3.0, 800) + '{"event": "half')
    measurement = build_measurement((log,), victim_log)
    measurement.read_events()
    usage = measure_usage(measurement, 0.0, 5.0)
    assert usage["bytes_sent"] == 200.0
    assert usage["processor_s"] == 0.5
    assert len(measurement.events) == 2


async def test_a_host_prints_its_events(capsys, monkeypatch):
    monkeypatch.setattr("ebonyrack.load.control_host.USAGE_INTERVAL_S", 0.01)
    calls = []
    async with StandinPlatform() as platform:
        options = HostOptions(platform.address, "127.0.0.61", 0, 2, 1)
        await run_host(options, lambda: calls.append(1) or len(calls) > 3)
    lines = capsys.readouterr().out.splitlines()
    assert any('"event": "usage"' in line for line in lines)
    assert any('"event": "started"' in line for line in lines)
