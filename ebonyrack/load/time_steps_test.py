from ebonyrack.load.time_steps import LEVEL_STEPS
from ebonyrack.load.time_steps import STEP_S
from ebonyrack.load.time_steps import count_in_steps
from ebonyrack.load.time_steps import find_drop_recovery_s
from ebonyrack.load.time_steps import find_peak_rate
from ebonyrack.load.time_steps import find_rise_recovery_s
from ebonyrack.load.time_steps import find_step_maxima

QUIET = [1.0] * 20


def test_events_are_counted_in_their_steps():
    times_s = [9.9, 10.01, 10.02, 10.12, 10.16]
    assert count_in_steps(times_s, 10.0, 10.15) == [2, 0, 1]


def test_steps_without_a_sample_repeat_the_last_value():
    samples = [(10.01, 3.0), (10.02, 7.0), (10.13, 0.0)]
    assert find_step_maxima(samples, 10.0, 10.2) == [7, 7, 0, 0]


def test_peak_rate_is_averaged_over_several_steps():
    assert find_peak_rate([0.0] * 10 + [50.0] + [0.0] * 10) == 200.0


def test_rise_has_recovered_when_the_mean_of_half_a_second_is_as_before():
    after = [1.0] * 4 + [9.0] * 6 + [1.0] * 30
    assert find_rise_recovery_s(QUIET, after) == round(10 * STEP_S, 2)
    assert find_rise_recovery_s(QUIET, [1.0] * 30) == 0.0
    # A peak long after the fault is not one of its effects.
    assert find_rise_recovery_s(QUIET, after + [1.0] * 20 + [20.0] * 30) == 0.5
    assert find_rise_recovery_s(QUIET, [1.0] * 4 + [9.0] * 30) is None


def test_drop_recovery_is_searched_from_the_lowest_value():
    after = [0.0] * 6 + [1.0] * (LEVEL_STEPS + 20)
    assert find_drop_recovery_s(QUIET, after) == round(6 * STEP_S, 2)
