from ebonyrack.core.clock import now_s
from ebonyrack.core.position import LOG_START
from ebonyrack.core.position import LogPosition
from ebonyrack.upstreams.confirmed_log import ConfirmedLog

CONFIRMED = LogPosition(2, 10)


def test_poll_sent_before_the_confirmation_proves_no_loss():
    log = ConfirmedLog()
    poll_sent_at_s = now_s()
    log.record_confirmed(CONFIRMED)
    assert not log.observe(LogPosition(2, 9), poll_sent_at_s)
    assert not log.is_regressed


def test_position_at_or_past_the_confirmed_one_is_no_loss():
    log = ConfirmedLog()
    log.record_confirmed(CONFIRMED)
    log.record_confirmed(LogPosition(2, 4))
    for received in (CONFIRMED, LogPosition(2, 11), LogPosition(3, 11)):
        assert log.holds(received)
        assert not log.observe(received, now_s() + 1)


def test_lost_log_counts_again_once_it_holds_what_the_primary_held_after_the_loss():
    log = ConfirmedLog()
    log.record_confirmed(CONFIRMED)
    before_loss_s = now_s()
    assert log.observe(LOG_START, before_loss_s + 1)
    # The primary has not been polled since the loss; an older status sets no target.
    log.observe_primary(CONFIRMED, before_loss_s)
    assert not log.holds(CONFIRMED)
    log.observe_primary(LogPosition(2, 15), now_s() + 1)
    assert not log.observe(CONFIRMED, now_s() + 1)
    # The reply to a poll from before the loss arrives late.
    assert not log.observe(LogPosition(2, 15), before_loss_s)
    assert log.is_regressed
    assert log.observe(LogPosition(2, 15), now_s() + 1)
    assert not log.is_regressed
