"""Decisions on placement, waiting, connection shares and promotion."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.core.position import LogPosition
from ebonyrack.placing.connection_share import compute_idle_limit
from ebonyrack.placing.connection_share import compute_share
from ebonyrack.placing.connection_share import compute_startup_share
from ebonyrack.placing.connection_share import may_be_starting_together
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
from ebonyrack.placing.promotion_candidate import choose_successor
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
def test_found_position_is_from_a_sample_that_is_recent_enough(samples, time_s):
    history = PositionHistory()
    for sample in samples:
        history.add(sample)
    position = history.find_position(time_s)
    recent = [s.position for s in history.samples if s.sent_at_s >= time_s]
    assert position in recent if recent else position is None


def test_oldest_sample_that_is_recent_enough_is_found():
    history = PositionHistory()
    for number in range(10):
        history.add(PositionSample(float(number), LogPosition(1, number)))
    assert history.find_position(4.5) == LogPosition(1, 5)
    assert history.measure_age(9.5) == 0.5


def test_near_replica_is_preferred_until_its_wait_exceeds_the_remote_cost():
    near, far = build_candidate("near"), build_candidate("far", is_near=False)
    assert order_candidates([far, near]) == ["near", "far"]
    overloaded = build_candidate("near", expected_wait_s=0.2)
    assert order_candidates([far, overloaded]) == ["far", "near"]


def test_deprioritized_upstream_is_tried_last():
    lagging = build_candidate("near", is_deprioritized=True)
    far = build_candidate("far", is_near=False, is_primary=True)
    assert order_candidates([lagging, far]) == ["far", "near"]


def test_unreachable_upstream_is_not_tried_whatever_the_wait_at_others():
    # The primary has crashed; one replica lacks the position, the other has a queue.
    lagging = build_candidate("near", is_deprioritized=True)
    overloaded = build_candidate("far", expected_wait_s=2.0)
    dead = build_candidate("dead", is_primary=True, is_reachable=False)
    assert order_candidates([dead, lagging, overloaded]) == ["near", "far"]
    assert order_candidates([dead]) == []


def test_silence_limit_grows_with_reply_times_of_an_overloaded_upstream():
    # 24 statements wait for 3 slots: a reply usually takes 0.1 to 0.4 s, at times 0.5.
    overloaded, usual = ReplyTime(), ReplyTime()
    for number in range(100):
        overloaded.record((0.1, 0.4, 0.25)[number % 3], number / 10)
        usual.record(0.03, number / 10)
    assert overloaded.compute_silence_limit(10.0) > 0.5
    assert usual.compute_silence_limit(10.0) == MINIMUM_SILENCE_LIMIT_S
    for _ in range(100):
        overloaded.record(5.0, 10.0)
    assert overloaded.compute_silence_limit(10.0) == MAXIMUM_SILENCE_LIMIT_S


def test_slow_upstream_is_preferred_again_once_its_reply_times_decay():
    # The upstream hangs for six seconds and gets no reads until its averages decay.
    slow = ReplyTime()
    for number in range(20):
        slow.record(1.2, number / 10)
    near = {"latency_s": slow.estimate(2.5)}
    far = build_candidate("far", is_near=False)
    assert order_candidates([build_candidate("near", **near), far])[0] == "far"
    near = {"latency_s": slow.estimate(8.0)}
    assert order_candidates([build_candidate("near", **near), far])[0] == "near"
    assert slow.compute_silence_limit(10.0) == MINIMUM_SILENCE_LIMIT_S


def test_repeated_primary_report_does_not_override_a_denial():
    tracker = PrimaryTracker()
    tracker.report("a", True, 1)
    assert tracker.primary_id == "a"
    tracker.confirm("a", 3)
    tracker.report("a", True, 5)
    tracker.deny("a")
    assert tracker.primary_id is None
    tracker.report("a", True, 6)
    assert tracker.primary_id is None
    tracker.report("b", True, 7)
    assert tracker.primary_id == "b"
    tracker.confirm("a", 2)
    assert tracker.primary_id == "b"


def test_primary_report_counts_again_after_a_replica_report():
    tracker = PrimaryTracker()
    tracker.report("a", True, 1)
    tracker.deny("a")
    tracker.report("a", False, 2)
    tracker.report("a", True, 3)
    assert tracker.primary_id == "a"


def test_request_waits_for_promotion_only_if_its_deadline_allows_it():
    assert decide_wait(EXPECTED_OUTAGE_S - 0.3, 0.8, EXPECTED_OUTAGE_S).waits
    rejected = decide_wait(0.1, 0.8, EXPECTED_OUTAGE_S)
    assert not rejected.waits
    assert rejected.retry_after_s >= EXPECTED_OUTAGE_S - 0.1
    assert decide_wait(0.0, 0.8, EXPECTED_DISCOVERY_S).waits


def test_request_does_not_wait_in_an_unusually_long_outage():
    # No promotion is possible for 6 s: the primary crashed while the replica that holds
    # the newest commits is down too. Statements time out after a second.
    for lost_for_s in (2.0, 3.0, 6.0):
        rejected = decide_wait(lost_for_s, 1.0, EXPECTED_OUTAGE_S)
        assert not rejected.waits
        assert rejected.retry_after_s >= lost_for_s / 2


@pytest.mark.parametrize(
    ("observation", "health"),
    [
        (PrimaryObservation(True), PrimaryHealth.SERVING),
        (PrimaryObservation(True, silent_for_s=0.9), PrimaryHealth.SILENT),
        # Replies of a primary with a full queue take up to a second.
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
def test_primary_health_follows_the_observation(observation, health):
    assert assess_primary(observation) is health


def test_connection_shares_of_all_proxies_fit_the_upstream_limit():
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


@given(REPLICAS)
def test_safe_candidate_holds_all_that_any_paused_replica_received(replicas):
    candidate = choose_candidate(replicas)
    if candidate is None or not is_safe_candidate(candidate, replicas, 1):
        return
    states = {each.member_id: each for each in replicas}
    for other in replicas:
        assert other.received is not None
        assert other.received <= states[candidate].received
        assert other.is_paused or other.member_id == candidate


def test_longest_log_is_promoted_after_a_loss_even_if_it_is_leaving():
    staying = ReplicaState("a", LogPosition(1, 4), True, False)
    leaving = ReplicaState("b", LogPosition(1, 5), True, True)
    assert choose_candidate([staying, leaving]) == "b"


def test_successor_of_a_reachable_primary_stays_unless_only_a_leaving_one_has_all():
    staying = ReplicaState("a", LogPosition(1, 4), True, False)
    leaving = ReplicaState("b", LogPosition(1, 5), True, True)
    silent = ReplicaState("c", None, False, False)
    replicas = [staying, leaving, silent]
    assert choose_successor(replicas, LogPosition(1, 4)) == "a"
    assert choose_successor(replicas, LogPosition(1, 5)) == "b"
    assert choose_successor(replicas, LogPosition(1, 6)) is None


def test_all_proxies_can_connect_after_losing_power_at_once():
    # 29 proxies in 4 data centres, 43 connections, and old connections still open.
    share = compute_share(43, 29)
    near, far = 8, 21
    idle = near * compute_idle_limit(share, True, False)
    idle += far * compute_idle_limit(share, False, False)
    assert idle + 29 * share <= 43
    assert compute_idle_limit(share, False, True) == share
    assert compute_startup_share(43, 29) == 0
    assert may_be_starting_together(3.0)
    assert not may_be_starting_together(4.0)
