import json

import pytest

from ebonyrack.ops.exit_status import ExitStatus
from ebonyrack.scripts.ctl import main

LINES = [
    ("02:00:40.000", "p-1", "store_lost", {}),
    ("02:00:52.000", "p-1", "primary_judged", {"group": "g", "verdict": "silent"}),
    ("02:00:52.100", "p-1", "primary_judged", {"group": "h", "verdict": "silent"}),
    ("02:00:52.200", "p-2", "primary_judged", {"group": "g", "verdict": "silent"}),
    ("02:00:52.300", "p-1", "write_not_run", {"request": "d4e1", "group": "g"}),
    ("02:00:52.350", "p-1", "request_failed", {"request": "aaaa"}),
    ("02:00:52.400", "p-1", "request_failed", {"request": "d4e1", "error": "x"}),
    ("02:00:53.000", "p-1", "duty_taken", {"group": "g", "fencing_token": 7}),
]


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "proxies.log"
    texts = [
        json.dumps(
            {"time": f"2026-12-04T{time}", "event": event, "proxy": proxy} | rest
        )
        for time, proxy, event, rest in reversed(LINES)
    ]
    path.write_text("\n".join(["Traceback {", *texts, "  3.1 p-1 no json"]))
    return path


def test_timeline_contains_request_lines_and_state_changes_of_its_proxy(log, capsys):
    assert main(["story", "d4e1", str(log)]) == ExitStatus.OK
    assert capsys.readouterr().out.splitlines() == [
        "02:00:52.000 p-1 primary_judged group=g verdict=silent",
        "02:00:52.300 p-1 write_not_run request=d4e1 group=g",
        "02:00:52.400 p-1 request_failed request=d4e1 error=x",
        "02:00:53.000 p-1 duty_taken group=g fencing_token=7",
    ]


def test_before_option_extends_the_timeline(log, capsys):
    assert main(["--json", "story", "d4e1", str(log), "--before", "20"]) == 0
    timeline = json.loads(capsys.readouterr().out)
    assert timeline[0]["event"] == "store_lost"


def test_request_without_log_lines_is_refused(log, capsys):
    assert main(["story", "ffff", str(log)]) == ExitStatus.REFUSED
    assert "no log line for request ffff" in capsys.readouterr().err


def test_missing_log_file_is_a_usage_error(tmp_path, capsys):
    assert main(["story", "d4e1", str(tmp_path / "none")]) == ExitStatus.USAGE
    assert "none" in capsys.readouterr().err
