import pytest

from ebonyrack.members import liveness as module
from ebonyrack.members.liveness import Liveness


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        time_s = 100.0

    monkeypatch.setattr(module, "boot_time_s", lambda: Clock.time_s)
    return Clock


def test_silence_counts_from_what_was_sent_after_the_last_answer(clock):
    liveness = Liveness()
    liveness.record_sent()
    clock.time_s += 1
    assert liveness.measure_silence() == 1
    liveness.record_reply()
    clock.time_s += 2
    assert liveness.measure_silence() == 2


def test_silence_goes_on_after_an_exchange_was_given_up(clock):
    liveness = Liveness()
    number = liveness.record_sent()
    clock.time_s += 0.8
    liveness.record_ended(number, was_abandoned=True)
    liveness.record_sent()
    clock.time_s += 0.2
    assert liveness.measure_silence() == pytest.approx(1.0)
    liveness.record_reply()
    assert liveness.measure_silence() == 0


def test_an_upstream_that_nothing_is_sent_to_is_not_silent(clock):
    liveness = Liveness()
    number = liveness.record_sent()
    liveness.record_reply()
    liveness.record_ended(number)
    clock.time_s += 60
    assert liveness.measure_silence() == 0


def test_a_proxy_that_was_away_counts_silence_anew(clock):
    liveness = Liveness()
    liveness.record_sent()
    liveness.record_refusal()
    clock.time_s += 10
    liveness.reset_silence()
    assert liveness.measure_silence() == 0
    assert liveness.measure_refusal() == 0
