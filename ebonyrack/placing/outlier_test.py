"""An upstream that fails a third of its statements while its health is good."""

import random

from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.placing.outlier import FailureRecord
from ebonyrack.placing.outlier import eject_outlier

UPSTREAMS = 3
FAILING_SHARE = 0.35
FAILING_S = (10.0, 30.0)
DURATION_S = 45.0
TRANSACTIONS_PER_S = 2.0
STATEMENTS = 5
# A usual pause after a failure, with which it is compared.
PAUSE_S = 0.25


def replay(ejects):
    """Return shares of transactions that end, during the fault and after it."""
    random_ = random.Random(1)
    records = [FailureRecord() for _ in range(UPSTREAMS)]
    paused_until_s = [0.0] * UPSTREAMS
    counts = {"during": [], "after": [], "first_choice": []}
    now = 0.0
    while (now := now + random_.expovariate(TRANSACTIONS_PER_S)) < DURATION_S:
        draw = random_.random()
        order = sorted(
            range(UPSTREAMS),
            key=lambda each: (
                records[each].compute_admission(now) <= draw
                if ejects
                else now < paused_until_s[each],
                each,
            ),
        )
        chosen, others = order[0], [records[each] for each in order[1:]]
        is_failing = chosen == 0 and FAILING_S[0] <= now < FAILING_S[1]
        ends = True
        for _ in range(STATEMENTS):
            is_failed = is_failing and random_.random() < FAILING_SHARE
            records[chosen].record(is_failed, now)
            if is_failed:
                ends = False
                paused_until_s[chosen] = now + PAUSE_S
                eject_outlier(records[chosen], others, now)
                break
        if FAILING_S[0] <= now < FAILING_S[1]:
            counts["during"].append(ends)
        elif now >= FAILING_S[1] + 10.0:
            counts["first_choice"].append(chosen == 0)
    return {kind: sum(each) / len(each) for kind, each in counts.items() if each}


def test_transactions_end_elsewhere_while_an_upstream_fails_a_part():
    paused, ejected = replay(ejects=False), replay(ejects=True)
    assert paused["during"] < 0.5
    assert ejected["during"] > 0.8
    assert ejected["first_choice"] > 0.5


def test_statements_that_fail_everywhere_eject_nobody():
    records = [FailureRecord() for _ in range(UPSTREAMS)]
    for step in range(60):
        suspect = records[step % UPSTREAMS]
        suspect.record(step % 2 == 0, step / 10)
        others = [each for each in records if each is not suspect]
        assert not eject_outlier(suspect, others, step / 10)


def test_upstream_returns_slowly():
    record = FailureRecord()
    assert record.compute_admission(0.0) == 1.0
    record.eject(0.0)
    shares = [record.compute_admission(step / 2) for step in range(20)]
    assert shares == sorted(shares)
    assert shares[0] == 0.0 and shares[-1] == 1.0
    assert any(0.0 < share < 1.0 for share in shares)


@given(st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=200))
def test_most_upstreams_stay_in(steps):
    records = [FailureRecord() for _ in range(5)]
    now = 0.0
    for chosen, is_failed in steps:
        now += 0.05
        records[chosen].record(is_failed, now)
        others = [each for each in records if each is not records[chosen]]
        if is_failed:
            eject_outlier(records[chosen], others, now)
        assert sum(each.is_ejected(now) for each in records) <= 2
