from ebonyrack.load.time_steps import LEVEL_STEPS
from ebonyrack.load.time_steps import STEP_S
from ebonyrack.load.time_steps import count_in_steps
from ebonyrack.load.time_steps import find_back_s
from ebonyrack.load.time_steps import find_peak_rate
from ebonyrack.load.time_steps import find_recovered_s
from ebonyrack.load.time_steps import read_in_steps

QUIET = [1.0] * 20


def test_moments_are_counted_in_their_steps():
    moments = [9.9, 10.01, 10.02, 10.12, 10.16]
    assert count_in_steps(moments, 10.0, 10.15) == [2, 0, 1]


def test_values_stay_until_the_next_sample():
    points = [(10.01, 3.0), (10.02, 7.0), (10.13, 0.0)]
    assert read_in_steps(points, 10.0, 10.2) == [7, 7, 0, 0]


def test_peak_is_a_rate_over_several_steps():
    assert find_peak_rate([0.0] * 10 + [50.0] + [0.0] * 10) == 200.0


def test_queue_is_back_when_half_a_second_is_as_before():
    after = [1.0] * 4 + [9.0] * 6 + [1.0] * 30
    assert find_back_s(QUIET, after) == round(10 * STEP_S, 2)
    assert find_back_s(QUIET, [1.0] * 30) == 0.0
    # A peak long after the fault is none of its effects.
    assert find_back_s(QUIET, after + [1.0] * 20 + [20.0] * 30) == 0.5
    assert find_back_s(QUIET, [1.0] * 4 + [9.0] * 30) is None


def test_goodput_is_back_counted_from_its_lowest():
    after = [0.0] * 6 + [1.0] * (LEVEL_STEPS + 20)
    assert find_recovered_s(QUIET, after) == round(6 * STEP_S, 2)
