"""Position samples for a calm day's reads of a stated age, replayed."""

import pytest

from ebonyrack.core.position import LogPosition
from ebonyrack.placing.position_history import PositionHistory
from ebonyrack.placing.position_history import PositionSample
from ebonyrack.placing.sample_age import LONGEST_SAMPLE_AGE_S
from ebonyrack.placing.sample_age import compute_sample_age
from ebonyrack.routes.route import Consistency
from ebonyrack.routes.route import Route

CHECK_INTERVAL_S = 0.1
# Each check is up to a fifth late, and a probe takes some milliseconds.
CHECK_DELAY_S = 0.14


def build_route(age_s, consistency=Consistency.STATED_AGE, group="a"):
    return Route(b"x", group, consistency, 0.8, 0.25, 1, age_s)


def replay(sample_age_s, read_age_s, silent_from_s=None):
    """Return how many samples were taken, and the time of the first read without."""
    history = PositionHistory()
    samples, now_s = 0, 0.0
    while now_s < 30.0:
        is_silent = silent_from_s is not None and now_s > silent_from_s
        if not is_silent and history.measure_age(now_s) > sample_age_s:
            samples += 1
            history.add(PositionSample(now_s, LogPosition(1, samples)))
        if history.find_position(now_s - read_age_s) is None:
            return samples, now_s
        now_s += CHECK_DELAY_S
    return samples, None


@pytest.mark.parametrize("read_age_s", [0.5, 1.5, 2.5, 10.0])
def test_reads_of_a_stated_age_always_find_a_sample(read_age_s):
    age_s = compute_sample_age([build_route(read_age_s)], "a")
    samples, missing_at_s = replay(age_s, read_age_s)
    assert missing_at_s is None
    assert samples <= 30.0 / age_s + 1


def test_samples_are_as_rare_as_the_reads_allow():
    age_s = compute_sample_age([build_route(1.5)], "a")
    rare, _ = replay(age_s, 1.5)
    frequent, _ = replay(0.4, 1.5)
    assert rare < 0.7 * frequent


def test_reads_go_on_for_a_while_after_the_primary_is_lost():
    age_s = compute_sample_age([build_route(1.5)], "a")
    _, missing_at_s = replay(age_s, 1.5, silent_from_s=10.0)
    assert missing_at_s > 10.0 + 0.4 * 1.5


def test_other_groups_and_strict_reads_need_no_sample():
    routes = [build_route(0.3, group="b"), build_route(0.3, Consistency.PRIMARY)]
    assert compute_sample_age(routes, "a") == LONGEST_SAMPLE_AGE_S
