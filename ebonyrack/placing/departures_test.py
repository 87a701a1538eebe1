"""What is known of commits that only upstreams which have left may have received."""

from ebonyrack.core.position import LogPosition
from ebonyrack.placing.departures import Departures
from ebonyrack.placing.position_history import PositionSample


def sample(sent_at_s, offset):
    return PositionSample(sent_at_s, LogPosition(1, offset))


def test_first_sample_after_the_last_departure_covers_it():
    departures = Departures(10.0)
    departures.record_primary("a", 11.0)
    departures.add_sample(sample(11.0, 1))
    assert not departures.has_departed
    assert departures.position == LogPosition(1, 1)
    departures.record(20.0)
    # Sent before the departure: the upstream may have received a commit since.
    departures.add_sample(sample(19.9, 5))
    assert departures.has_departed
    assert departures.position is None
    departures.add_sample(sample(20.1, 7))
    departures.add_sample(sample(20.6, 9))
    assert departures.position == LogPosition(1, 7)


def test_another_primary_holds_all_that_counted_before():
    departures = Departures(10.0)
    departures.record_primary("a", 11.0)
    departures.record(20.0)
    departures.record_primary("b", 21.0)
    assert not departures.has_departed
    departures.add_sample(sample(21.0, 3))
    assert departures.position == LogPosition(1, 3)


def test_primary_that_is_confirmed_again_covers_no_departure():
    departures = Departures(10.0)
    departures.record_primary("a", 11.0)
    departures.record(20.0)
    departures.record_primary("a", 21.0)
    assert departures.has_departed


def test_reply_of_before_a_departure_does_not_undo_it():
    departures = Departures(10.0)
    departures.record_primary("a", 11.0)
    departures.record(20.0)
    departures.record_primary("b", 19.0)
    assert departures.has_departed
