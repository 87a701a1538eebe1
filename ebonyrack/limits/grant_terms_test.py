"""The terms of any account keep a window within what the platform allows."""

from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.limits.grant_terms import MAXIMUM_VALIDITY_S
from ebonyrack.limits.grant_terms import SEND_ALLOWANCE_S
from ebonyrack.limits.grant_terms import LimitBounds
from ebonyrack.limits.grant_terms import choose_terms

BOUNDS = LimitBounds(window_s=5.0, overshoot=0.1, slack=20.0)


@given(
    rate=st.floats(0.0, 1e5),
    burst=st.floats(0.0, 1e5),
    bounds=st.builds(
        LimitBounds, st.floats(0.1, 60.0), st.floats(0.0, 1.0), st.floats(0.0, 100.0)
    ),
)
def test_a_window_stays_within_the_bounds(rate, burst, bounds):
    terms = choose_terms(rate, burst, bounds)
    allowed = (rate * bounds.window_s + burst) * (1 + bounds.overshoot) + bounds.slack
    span_s = bounds.window_s + terms.validity_s + SEND_ALLOWANCE_S
    if terms.validity_s > 0:
        assert terms.capacity + rate * span_s <= allowed * (1 + 1e-9)


def test_small_accounts_hold_grants_for_long_and_large_ones_shortly():
    small, large = (choose_terms(rate, rate, BOUNDS) for rate in (1.0, 210.0))
    assert small.validity_s == MAXIMUM_VALIDITY_S
    assert 0.2 < large.validity_s < 0.6
    assert small.capacity > 5.0
