"""Changes of a primary after, beside or instead of those of other holders."""

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from ebonyrack.placing.primary_health import PrimaryHealth
from ebonyrack.promotion.change_play_test import ANSWERS
from ebonyrack.promotion.change_play_test import DEPARTURE_EVENTS
from ebonyrack.promotion.change_play_test import HISTORY
from ebonyrack.promotion.change_play_test import draw_steps
from ebonyrack.promotion.change_play_test import play
from ebonyrack.promotion.group_model_test import Model
from ebonyrack.promotion.result import PromotionResult

LOST_HEALTH = st.sampled_from([each for each in PrimaryHealth if each.is_lost])


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@given(
    health=LOST_HEALTH,
    history=HISTORY,
    steps=draw_steps(DEPARTURE_EVENTS),
    answers=ANSWERS,
)
@settings(max_examples=300)
def test_primary_that_an_earlier_holder_made_a_replica_is_compared(
    is_fenced, health, history, steps, answers
):
    # That holder ended before its order, and this proxy takes it for the primary still.
    model = Model(steps, True, [*history, ("step_down", "a")], True)
    play(model, health, answers, is_fenced)
    assert model.lost == []


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@pytest.mark.parametrize("health", [PrimaryHealth.STALLED, PrimaryHealth.SILENT])
def test_primary_that_an_earlier_holder_made_a_replica_may_lead_again(
    is_fenced, health
):
    # Nobody else has its commits, and this proxy takes it for the primary still.
    history = [("commit", "b"), ("leave", "b"), ("step_down", "a")]
    model = Model([], True, history, True)
    play(model, health, [], is_fenced)
    assert model.promoted == ["a"]


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@pytest.mark.parametrize("health", [PrimaryHealth.UNKNOWN, PrimaryHealth.SILENT])
def test_primary_that_becomes_known_during_a_change_is_not_replaced(is_fenced, health):
    # A proxy that the store turned away reads the entry of the successor late.
    model = Model([], history=[("lead_next_term", "d"), ("skip_reading", "d")])
    result = play(model, health, [], is_fenced)
    assert result is PromotionResult.NOT_NEEDED
    assert model.promoted == []
    assert not any(each.paused_term for each in model.upstreams.values())


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@pytest.mark.parametrize("pause", ["pause", "pause_far"])
@pytest.mark.parametrize("is_sampled", [True, False])
def test_change_of_a_primary_that_pauses_stall_leaves_none_that_stalls_the_next(
    is_fenced, pause, is_sampled
):
    # Holders replaced healthy primaries in turn, each with higher pauses.
    history = [("commit", "b"), (pause, "b"), (pause, "c"), ("log", "a")]
    model = Model([], history=history, is_sampled=is_sampled)
    result = play(model, PrimaryHealth.STALLED, [], is_fenced)
    assert result is PromotionResult.PROMOTED
    assert len(model.promoted) == 1
    for each in model.upstreams.values():
        assert each.paused_term <= model.leader.term
    assert model.lost == []


@pytest.mark.parametrize("health", [PrimaryHealth.LEAVING, PrimaryHealth.STALLED])
def test_pause_of_an_earlier_holder_may_hide_a_newer_primary(health):
    # Replaced primaries go on where promotions are not fenced. The newer one and its
    # replica can't be reached, the replica that is left stands where the old one does.
    model = Model([], registers_at_once=True, history=[("promote_hidden", "c")])
    play(model, health, [], is_fenced=False)
    assert model.lost == []
    assert model.promoted == []


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@pytest.mark.parametrize("health", [PrimaryHealth.LEAVING, PrimaryHealth.STALLED])
@given(requests=st.integers(1, 25), steps=draw_steps(("commit", "log")))
@settings(max_examples=200)
def test_holder_that_stood_still_past_its_lease_orders_nothing(
    is_fenced, health, requests, steps
):
    # The next holder has paused all replicas and ordered one of them meanwhile.
    model = Model(steps, registers_at_once=True, is_sampled=True)
    model.upstreams["a"].is_leaving = health is PrimaryHealth.LEAVING
    model.requests_until_freeze = requests
    play(model, health, [], is_fenced)
    assert model.late_orders == []


# Guards against a primary that is stalled by what an attempt left: it was lost for a
# moment while its own promotion was recorded as unanswered, and both replicas stayed
# paused.
def test_attempt_over_a_primary_that_returns_ends_its_pauses():
    steps = [[("return_primary_soon", "a")]]
    model = Model(steps, history=[("lose", "a")])
    model.open_order = "a"
    result = play(model, PrimaryHealth.SILENT, [], is_fenced=False)
    assert result is PromotionResult.NOT_NEEDED
    assert not any(each.paused_term for each in model.upstreams.values())


def test_attempt_that_awaits_the_order_of_another_upstream_leaves_its_pauses():
    # That upstream may still be promoted, and lacks what the others would receive.
    steps = [[("return_primary_soon", "a")]]
    model = Model(steps, history=[("commit", "c"), ("lose", "a")])
    model.open_order = "b"
    result = play(model, PrimaryHealth.SILENT, [], is_fenced=False)
    assert result is PromotionResult.NOT_NEEDED
    assert any(each.paused_term for each in model.upstreams.values())


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@pytest.mark.parametrize("health", [PrimaryHealth.UNKNOWN, PrimaryHealth.SILENT])
def test_primary_that_is_too_busy_for_a_probe_is_not_ordered(is_fenced, health):
    # It was the replica with the longest log, and all others were paused for it.
    model = Model([], history=[("lead_next_term", "d")], registers_at_once=True)
    model.busy_probes = 6
    result = play(model, health, [], is_fenced)
    assert result is PromotionResult.NOT_NEEDED
    assert model.orders == []
    assert not any(each.paused_term for each in model.upstreams.values())


def test_replaced_primary_that_goes_on_holds_up_no_promotion():
    # It can't be paused like a replica, and its commits would count with one.
    history = [("lead_next_term", "d"), ("commit", "b"), ("leave_for_good", "d")]
    model = Model([], history=[*history, ("lead_on", "a")], registers_at_once=True)
    result = play(model, PrimaryHealth.UNKNOWN, [], is_fenced=False)
    assert result is PromotionResult.PROMOTED
    assert model.promoted == ["b"]
    assert not model.upstreams["a"].leads
    assert model.lost == []


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@pytest.mark.parametrize("health", [PrimaryHealth.STALLED, PrimaryHealth.LEAVING])
@pytest.mark.parametrize("requests", range(25))
def test_candidate_that_leaves_at_any_request_ends_no_attempt_with_an_error(
    is_fenced, health, requests
):
    # It was judged after the lead had ended, though it had left.
    steps = [[]] * requests + [[("leave", "c"), ("join", "d")]]
    model = Model(steps, registers_at_once=True, is_sampled=True)
    model.upstreams["a"].is_leaving = health is PrimaryHealth.LEAVING
    play(model, health, [], is_fenced)
    assert model.lost == []
