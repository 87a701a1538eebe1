"""Each decision on placing, waiting and succession, at the load that it answers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.core.position import LogPosition
from ebonyrack.placing.connection_share import compute_idle_limit
from ebonyrack.placing.connection_share import compute_share
from ebonyrack.placing.connection_share import is_short_of_connections
from ebonyrack.placing.position_history import PositionHistory
from ebonyrack.placing.position_history import PositionSample
from ebonyrack.placing.primary_health import PrimaryHealth
from ebonyrack.placing.primary_health import PrimaryObservation
from ebonyrack.placing.primary_health import assess_primary
from ebonyrack.placing.primary_outage import EXPECTED_DISCOVERY_S
from ebonyrack.placing.primary_outage import EXPECTED_OUTAGE_S
from ebonyrack.placing.primary_outage import decide_wait
from ebonyrack.placing.primary_tracker import PrimaryTracker
from ebonyrack.placing.promotion_candidate import ReplicaState
from ebonyrack.placing.promotion_candidate import choose_candidate
from ebonyrack.placing.promotion_candidate import is_safe_candidate
from ebonyrack.placing.read_order import ReadCandidate
from ebonyrack.placing.read_order import order_candidates
from ebonyrack.placing.reply_time import MAXIMUM_SILENCE_LIMIT_S
from ebonyrack.placing.reply_time import MINIMUM_SILENCE_LIMIT_S
from ebonyrack.placing.reply_time import ReplyTime

SAMPLES = st.lists(
    st.tuples(st.floats(0, 5), st.integers(0, 50)).map(
        lambda pair: PositionSample(pair[0], LogPosition(1, pair[1]))
    ),
    max_size=10,
)


def build_candidate(member_id, **changes):
    values = {
        "is_near": True,
        "is_primary": False,
        "is_reachable": True,
        "is_deprioritized": False,
        "is_shed": False,
        "latency_s": 0.02,
        "expected_wait_s": 0.0,
    }
    return ReadCandidate(member_id, **{**values, **changes})


@given(SAMPLES, st.floats(0, 5))
def test_a_position_is_never_of_a_question_older_than_asked_for(samples, time_s):
    coverage = PositionHistory()
    for sample in samples:
        coverage.add(sample)
    position = coverage.find_position(time_s)
    young = [s.position for s in coverage.samples if s.sent_at_s >= time_s]
    assert position in young if young else position is None


def test_the_oldest_position_that_is_young_enough_is_taken():
    coverage = PositionHistory()
    for number in range(10):
        coverage.add(PositionSample(float(number), LogPosition(1, number)))
    assert coverage.find_position(4.5) == LogPosition(1, 5)
    assert coverage.measure_age(9.5) == 0.5


def test_a_near_replica_is_read_until_its_queue_costs_more_than_the_way():
    near, far = build_candidate("near"), build_candidate("far", is_near=False)
    assert order_candidates([far, near]) == ["near", "far"]
    crowded = build_candidate("near", expected_wait_s=0.2)
    assert order_candidates([far, crowded]) == ["far", "near"]


def test_one_that_lacks_the_position_is_tried_last():
    lagging = build_candidate("near", is_deprioritized=True)
    far = build_candidate("far", is_near=False, is_primary=True)
    assert order_candidates([lagging, far]) == ["far", "near"]


def test_one_that_does_not_answer_is_not_tried_however_long_the_others_queue():
    # A primary has crashed; one replica lacks the position, the other has a queue.
    lagging = build_candidate("near", is_deprioritized=True)
    crowded = build_candidate("far", expected_wait_s=2.0)
    dead = build_candidate("dead", is_primary=True, is_reachable=False)
    assert order_candidates([dead, lagging, crowded]) == ["near", "far"]
    assert order_candidates([dead]) == []


def test_a_full_queue_is_not_taken_for_a_crash():
    # 24 statements wait for 3 slots; each reply takes 0.1 to 0.4 s, at times 0.5 s.
    crowded, usual = ReplyTime(), ReplyTime()
    for number in range(100):
        crowded.record((0.1, 0.4, 0.25)[number % 3], number / 10)
        usual.record(0.03, number / 10)
    assert crowded.compute_silence_limit(10.0) > 0.5
    assert usual.compute_silence_limit(10.0) == MINIMUM_SILENCE_LIMIT_S
    for _ in range(100):
        crowded.record(5.0, 10.0)
    assert crowded.compute_silence_limit(10.0) == MAXIMUM_SILENCE_LIMIT_S


def test_an_upstream_that_was_slow_is_tried_again_after_some_seconds():
    # A server hangs for six seconds; nobody reads there until it may be fast again.
    slow = ReplyTime()
    for number in range(20):
        slow.record(1.2, number / 10)
    near = {"latency_s": slow.estimate(2.5)}
    far = build_candidate("far", is_near=False)
    assert order_candidates([build_candidate("near", **near), far])[0] == "far"
    near = {"latency_s": slow.estimate(8.0)}
    assert order_candidates([build_candidate("near", **near), far])[0] == "near"
    assert slow.compute_silence_limit(10.0) == MINIMUM_SILENCE_LIMIT_S


def test_a_report_of_leading_counts_once_and_proof_goes_first():
    primary_tracker = PrimaryTracker()
    primary_tracker.report("a", True, 1)
    assert primary_tracker.primary_id == "a"
    primary_tracker.confirm("a", 3)
    primary_tracker.report("a", True, 5)
    primary_tracker.deny("a")
    assert primary_tracker.primary_id is None
    primary_tracker.report("a", True, 6)
    assert primary_tracker.primary_id is None
    primary_tracker.report("b", True, 7)
    assert primary_tracker.primary_id == "b"
    primary_tracker.confirm("a", 2)
    assert primary_tracker.primary_id == "b"


def test_an_upstream_that_leads_again_is_believed_again():
    primary_tracker = PrimaryTracker()
    primary_tracker.report("a", True, 1)
    primary_tracker.deny("a")
    primary_tracker.report("a", False, 2)
    primary_tracker.report("a", True, 3)
    assert primary_tracker.primary_id == "a"


def test_writers_wait_for_a_promotion_only_if_their_time_allows_it():
    assert decide_wait(EXPECTED_OUTAGE_S - 0.3, 0.8, EXPECTED_OUTAGE_S).waits
    refused = decide_wait(0.1, 0.8, EXPECTED_OUTAGE_S)
    assert not refused.waits
    assert refused.retry_after_s >= EXPECTED_OUTAGE_S - 0.1
    assert decide_wait(0.0, 0.8, EXPECTED_DISCOVERY_S).waits


def test_a_gap_that_outlasts_what_is_usual_holds_nobody_up():
    # Nothing can be promoted for 6 s: a primary crashed while the replica that holds
    # the newest commits is down too. Callers have a second for a statement.
    for lost_for_s in (2.0, 3.0, 6.0):
        refused = decide_wait(lost_for_s, 1.0, EXPECTED_OUTAGE_S)
        assert not refused.waits
        assert refused.retry_after_s >= lost_for_s / 2


@pytest.mark.parametrize(
    ("view", "health"),
    [
        (PrimaryObservation(True), PrimaryHealth.SERVING),
        (PrimaryObservation(True, silent_for_s=0.9), PrimaryHealth.SILENT),
        # A burst: replies of a primary with a full queue take up to a second.
        (
            PrimaryObservation(True, silent_for_s=0.9, silence_limit_s=1.1),
            PrimaryHealth.SERVING,
        ),
        (
            PrimaryObservation(True, silent_for_s=1.2, silence_limit_s=1.1),
            PrimaryHealth.SILENT,
        ),
        (PrimaryObservation(True, refused_for_s=0.4), PrimaryHealth.REFUSING),
        (PrimaryObservation(True, stalled_for_s=1.0), PrimaryHealth.STALLED),
        (PrimaryObservation(True, is_leaving=True), PrimaryHealth.LEAVING),
        (PrimaryObservation(True, missing_for_s=3.0), PrimaryHealth.LEAVING),
        (PrimaryObservation(False, unknown_for_s=0.1), PrimaryHealth.SERVING),
        (PrimaryObservation(False, unknown_for_s=1.0), PrimaryHealth.UNKNOWN),
        (
            PrimaryObservation(True, silent_for_s=0.9, is_leaving=True),
            PrimaryHealth.SILENT,
        ),
    ],
)
def test_verdicts_on_a_primary(view, health):
    assert assess_primary(view) is health


def test_the_shares_of_all_proxies_fit_the_upstreams_limit():
    for maximum in (5, 22, 43, 60, 192):
        for proxies in range(1, 40):
            share = compute_share(maximum, proxies)
            assert share == 1 or share * proxies < maximum


POSITIONS = st.none() | st.integers(0, 5).map(lambda offset: LogPosition(1, offset))
REPLICAS = st.lists(
    st.tuples(POSITIONS, st.booleans(), st.booleans()), min_size=1, max_size=4
).map(
    lambda rows: [
        ReplicaState(f"r{number}", position, paused and position is not None, leaving)
        for number, (position, paused, leaving) in enumerate(rows)
    ]
)


@given(REPLICAS, st.booleans())
def test_a_safe_successor_holds_what_every_other_may_have_counted_with(
    replicas, primary_serves
):
    candidate = choose_candidate(replicas, primary_serves)
    if candidate is None or not is_safe_candidate(candidate, replicas, 1):
        return
    states = {each.member_id: each for each in replicas}
    for other in replicas:
        assert other.received is not None
        assert other.received <= states[candidate].received
        assert other.is_paused or other.member_id == candidate


def test_a_lost_primary_is_followed_by_the_longest_log_even_if_it_leaves():
    staying = ReplicaState("a", LogPosition(1, 4), True, False)
    leaving = ReplicaState("b", LogPosition(1, 5), True, True)
    assert choose_candidate([staying, leaving], primary_serves=False) == "b"
    assert choose_candidate([staying, leaving], primary_serves=True) == "a"


def test_replicas_have_room_for_all_that_come_back_after_a_loss_of_power():
    # 29 proxies in 4 data centres, 43 connections; those of before linger.
    share = compute_share(43, 29)
    near, far = 8, 21
    kept = near * compute_idle_limit(share, True, False)
    kept += far * compute_idle_limit(share, False, False)
    assert kept + 29 * share <= 43
    assert compute_idle_limit(share, False, True) == share
    assert is_short_of_connections(3.0, 43, 29)
    assert not is_short_of_connections(4.0, 43, 29)
    # 5 proxies hold 3 of 22 each; what is left is enough for one more each.
    assert not is_short_of_connections(3.0, 22, 5)
