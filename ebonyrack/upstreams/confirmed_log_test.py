from ebonyrack.core.clock import now_s
from ebonyrack.core.position import LOG_START
from ebonyrack.core.position import LogPosition
from ebonyrack.upstreams.confirmed_log import ConfirmedLog

COUNTED = LogPosition(2, 10)


def test_answer_asked_for_before_the_count_proves_no_loss():
    log = ConfirmedLog()
    asked_at_s = now_s()
    log.count(COUNTED)
    assert not log.observe(LogPosition(2, 9), asked_at_s)
    assert not log.is_lost


def test_no_position_at_or_past_the_counted_one_is_a_loss():
    log = ConfirmedLog()
    log.count(COUNTED)
    log.count(LogPosition(2, 4))
    for received in (COUNTED, LogPosition(2, 11), LogPosition(3, 11)):
        assert log.holds(received)
        assert not log.observe(received, now_s() + 1)


def test_lost_log_counts_once_it_holds_what_the_primary_held_after_the_loss():
    log = ConfirmedLog()
    log.count(COUNTED)
    asked_before_s = now_s()
    assert log.observe(LOG_START, asked_before_s + 1)
    # The primary has not been asked since, and its older answer proves nothing.
    log.observe_primary(COUNTED, asked_before_s)
    assert not log.holds(COUNTED)
    log.observe_primary(LogPosition(2, 15), now_s() + 1)
    assert not log.observe(COUNTED, now_s() + 1)
    # An answer from before the loss arrives late.
    assert not log.observe(LogPosition(2, 15), asked_before_s)
    assert log.is_lost
    assert log.observe(LogPosition(2, 15), now_s() + 1)
    assert not log.is_lost
