"""Each decision on placing, waiting and succession, at the load that it answers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.core.position import LogPosition
from ebonyrack.placing.coverage import Coverage
from ebonyrack.placing.coverage import PositionSample
from ebonyrack.placing.leadership import Leadership
from ebonyrack.placing.primary_gap import EXPECTED_GAP_S
from ebonyrack.placing.primary_gap import EXPECTED_SEARCH_S
from ebonyrack.placing.primary_gap import decide_gap
from ebonyrack.placing.read_order import ReadCandidate
from ebonyrack.placing.read_order import order_candidates
from ebonyrack.placing.reply_time import LONGEST_LIMIT_S
from ebonyrack.placing.reply_time import SHORTEST_LIMIT_S
from ebonyrack.placing.reply_time import ReplyTime
from ebonyrack.placing.share import compute_kept
from ebonyrack.placing.share import compute_share
from ebonyrack.placing.share import is_returning
from ebonyrack.placing.successor import ReplicaState
from ebonyrack.placing.successor import choose_candidate
from ebonyrack.placing.successor import is_safe_successor
from ebonyrack.placing.suspicion import PrimaryView
from ebonyrack.placing.suspicion import Verdict
from ebonyrack.placing.suspicion import judge_primary

SAMPLES = st.lists(
    st.tuples(st.floats(0, 5), st.integers(0, 50)).map(
        lambda pair: PositionSample(pair[0], LogPosition(1, pair[1]))
    ),
    max_size=10,
)


def build_candidate(member_id, **changes):
    values = {
        "is_near": True,
        "leads": False,
        "is_reachable": True,
        "is_avoided": False,
        "is_spared": False,
        "latency_s": 0.02,
        "expected_wait_s": 0.0,
    }
    return ReadCandidate(member_id, **{**values, **changes})


@given(SAMPLES, st.floats(0, 5))
def test_a_position_is_never_of_a_question_older_than_asked_for(samples, time_s):
    coverage = Coverage()
    for sample in samples:
        coverage.add(sample)
    position = coverage.find_position(time_s)
    young = [s.position for s in coverage.samples if s.asked_at_s >= time_s]
    assert position in young if young else position is None


def test_the_oldest_position_that_is_young_enough_is_taken():
    coverage = Coverage()
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
    lagging = build_candidate("near", is_avoided=True)
    far = build_candidate("far", is_near=False, leads=True)
    assert order_candidates([lagging, far]) == ["far", "near"]


def test_one_that_does_not_answer_is_not_tried_however_long_the_others_queue():
    # A primary has crashed; one replica lacks the position, the other has a queue.
    lagging = build_candidate("near", is_avoided=True)
    crowded = build_candidate("far", expected_wait_s=2.0)
    dead = build_candidate("dead", leads=True, is_reachable=False)
    assert order_candidates([dead, lagging, crowded]) == ["near", "far"]
    assert order_candidates([dead]) == []


def test_a_full_queue_is_not_taken_for_a_crash():
    # 24 statements wait for 3 slots; each reply takes 0.1 to 0.4 s, at times 0.5 s.
    crowded, usual = ReplyTime(), ReplyTime()
    for number in range(100):
        crowded.note((0.1, 0.4, 0.25)[number % 3], number / 10)
        usual.note(0.03, number / 10)
    assert crowded.limit_silence(10.0) > 0.5
    assert usual.limit_silence(10.0) == SHORTEST_LIMIT_S
    for _ in range(100):
        crowded.note(5.0, 10.0)
    assert crowded.limit_silence(10.0) == LONGEST_LIMIT_S


def test_an_upstream_that_was_slow_is_tried_again_after_some_seconds():
    # A server hangs for six seconds; nobody reads there until it may be fast again.
    slow = ReplyTime()
    for number in range(20):
        slow.note(1.2, number / 10)
    near = {"latency_s": slow.estimate(2.5)}
    far = build_candidate("far", is_near=False)
    assert order_candidates([build_candidate("near", **near), far])[0] == "far"
    near = {"latency_s": slow.estimate(8.0)}
    assert order_candidates([build_candidate("near", **near), far])[0] == "near"
    assert slow.limit_silence(10.0) == SHORTEST_LIMIT_S


def test_a_report_of_leading_counts_once_and_proof_goes_first():
    leadership = Leadership()
    leadership.report("a", True, 1)
    assert leadership.leader == "a"
    leadership.confirm("a", 3)
    leadership.report("a", True, 5)
    leadership.deny("a")
    assert leadership.leader is None
    leadership.report("a", True, 6)
    assert leadership.leader is None
    leadership.report("b", True, 7)
    assert leadership.leader == "b"
    leadership.confirm("a", 2)
    assert leadership.leader == "b"


def test_an_upstream_that_leads_again_is_believed_again():
    leadership = Leadership()
    leadership.report("a", True, 1)
    leadership.deny("a")
    leadership.report("a", False, 2)
    leadership.report("a", True, 3)
    assert leadership.leader == "a"


def test_writers_wait_for_a_promotion_only_if_their_time_allows_it():
    assert decide_gap(EXPECTED_GAP_S - 0.3, 0.8, EXPECTED_GAP_S).waits
    refused = decide_gap(0.1, 0.8, EXPECTED_GAP_S)
    assert not refused.waits
    assert refused.retry_after_s >= EXPECTED_GAP_S - 0.1
    assert decide_gap(0.0, 0.8, EXPECTED_SEARCH_S).waits


def test_a_gap_that_outlasts_what_is_usual_holds_nobody_up():
    # Nothing can be promoted for 6 s: a primary crashed while the replica that holds
    # the newest commits is down too. Callers have a second for a statement.
    for lost_for_s in (2.0, 3.0, 6.0):
        refused = decide_gap(lost_for_s, 1.0, EXPECTED_GAP_S)
        assert not refused.waits
        assert refused.retry_after_s >= lost_for_s / 2


@pytest.mark.parametrize(
    ("view", "verdict"),
    [
        (PrimaryView(True), Verdict.SERVING),
        (PrimaryView(True, silent_for_s=0.9), Verdict.SILENT),
        # A burst: replies of a primary with a full queue take up to a second.
        (PrimaryView(True, silent_for_s=0.9, silence_limit_s=1.1), Verdict.SERVING),
        (PrimaryView(True, silent_for_s=1.2, silence_limit_s=1.1), Verdict.SILENT),
        (PrimaryView(True, refused_for_s=0.4), Verdict.REFUSING),
        (PrimaryView(True, stalled_for_s=1.0), Verdict.STALLED),
        (PrimaryView(True, is_leaving=True), Verdict.LEAVING),
        (PrimaryView(True, missing_for_s=3.0), Verdict.LEAVING),
        (PrimaryView(False, unknown_for_s=0.1), Verdict.SERVING),
        (PrimaryView(False, unknown_for_s=1.0), Verdict.UNKNOWN),
        (PrimaryView(True, silent_for_s=0.9, is_leaving=True), Verdict.SILENT),
    ],
)
def test_verdicts_on_a_primary(view, verdict):
    assert judge_primary(view) is verdict


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
    if candidate is None or not is_safe_successor(candidate, replicas, 1):
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
    kept = near * compute_kept(share, True, False)
    kept += far * compute_kept(share, False, False)
    assert kept + 29 * share <= 43
    assert compute_kept(share, False, True) == share
    assert is_returning(3.0, 43, 29)
    assert not is_returning(4.0, 43, 29)
    # 5 proxies hold 3 of 22 each; what is left is enough for one more each.
    assert not is_returning(3.0, 22, 5)
