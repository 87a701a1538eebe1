from ebonyrack.core.position import LogPosition
from ebonyrack.upstreams import lag
from ebonyrack.upstreams.lag import PrimaryHistory


def test_lag_starts_when_the_primary_is_first_seen_past_a_position(monkeypatch):
    time_s = 100.0
    monkeypatch.setattr(lag, "now_s", lambda: time_s)
    history = PrimaryHistory()
    for offset in (5, 6, 7):
        history.add(LogPosition(1, offset))
        time_s += 1.0
    assert history.compute_lag(LogPosition(1, 7)) == 0.0
    assert history.compute_lag(LogPosition(1, 6)) == 1.0
    assert history.compute_lag(LogPosition(1, 5)) == 2.0
    assert history.compute_lag(LogPosition(1, 4)) == 3.0
    history.clear()
    assert history.compute_lag(LogPosition(1, 4)) == 0.0


def test_idle_primary_adds_no_lag(monkeypatch):
    time_s = 100.0
    monkeypatch.setattr(lag, "now_s", lambda: time_s)
    history = PrimaryHistory()
    for _ in range(5):
        history.add(LogPosition(1, 5))
        time_s += 10.0
    assert history.compute_lag(LogPosition(1, 5)) == 0.0
    assert len(history.samples) == 1
