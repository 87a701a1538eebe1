import pytest

from ebonyrack.members import liveness as module
from ebonyrack.members.liveness import Liveness


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        time_s = 100.0

    monkeypatch.setattr(module, "boot_time_s", lambda: Clock.time_s)
    return Clock


def test_silence_is_measured_from_the_last_reply(clock):
    liveness = Liveness()
    liveness.record_sent()
    clock.time_s += 1
    assert liveness.measure_silence() == 1
    liveness.record_reply()
    clock.time_s += 2
    assert liveness.measure_silence() == 2


def test_silence_continues_after_an_abandoned_exchange(clock):
    liveness = Liveness()
    number = liveness.record_sent()
    clock.time_s += 0.8
    liveness.record_ended(number, was_abandoned=True)
    liveness.record_sent()
    clock.time_s += 0.2
    assert liveness.measure_silence() == pytest.approx(1.0)
    liveness.record_reply()
    assert liveness.measure_silence() == 0


def test_upstream_without_pending_exchanges_is_not_silent(clock):
    liveness = Liveness()
    number = liveness.record_sent()
    liveness.record_reply()
    liveness.record_ended(number)
    clock.time_s += 60
    assert liveness.measure_silence() == 0


def test_reset_after_a_suspension_clears_silence_and_refusals(clock):
    liveness = Liveness()
    liveness.record_sent()
    liveness.record_refusal()
    clock.time_s += 10
    liveness.reset_silence()
    assert liveness.measure_silence() == 0
    assert liveness.measure_refusal() == 0
