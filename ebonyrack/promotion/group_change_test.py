"""Changes of a primary while upstreams join, leave, restart or go dark."""

import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from ebonyrack.placing.primary_health import PrimaryHealth
from ebonyrack.promotion.change_play_test import ANSWERS
from ebonyrack.promotion.change_play_test import DEPARTURE_EVENTS
from ebonyrack.promotion.change_play_test import HISTORY
from ebonyrack.promotion.change_play_test import Observer
from ebonyrack.promotion.change_play_test import draw_steps
from ebonyrack.promotion.change_play_test import play
from ebonyrack.promotion.group_model_test import Model

PLANNED_EVENTS = ("commit", "log", "join", "register", "leave", "restart", "dark")
STALL_EVENTS = ("commit", "log", "join", "restart", "dark")
LOSS_EVENTS = ("join", "register", "restart", "dark")
RETURNING_EVENTS = LOSS_EVENTS + ("return_primary", "commit")


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@given(steps=draw_steps(PLANNED_EVENTS), answers=ANSWERS)
@settings(max_examples=300)
def test_planned_change_loses_no_commit(is_fenced, steps, answers):
    model = Model(steps)
    model.upstreams["a"].is_leaving = True
    play(model, PrimaryHealth.LEAVING, answers, is_fenced)
    assert model.lost == []


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@given(steps=draw_steps(LOSS_EVENTS), answers=ANSWERS)
@settings(max_examples=300)
def test_change_after_a_loss_loses_no_commit(is_fenced, steps, answers):
    model = Model([[("commit", "b"), ("commit", "c")], *steps])
    model.step()
    model.upstreams["a"].is_dark = model.is_crashed = True
    play(model, PrimaryHealth.REFUSING, answers, is_fenced)
    assert model.lost == []


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@given(steps=draw_steps(RETURNING_EVENTS), answers=ANSWERS)
@example(steps=[[("join", "e"), ("return_primary", "a"), ("commit", "e")]], answers=[])
@settings(max_examples=300)
def test_primary_that_returns_during_its_change_loses_no_commit(
    is_fenced, steps, answers
):
    model = Model(steps)
    model.observer = Observer(model, is_fenced)
    play(model, PrimaryHealth.REFUSING, answers, is_fenced)
    assert model.lost == []


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@given(steps=draw_steps(STALL_EVENTS), answers=ANSWERS)
@example(steps=[[], [], [], [], [("restart", "b"), ("commit", "b")]], answers=[])
@settings(max_examples=300)
def test_change_of_a_stalled_primary_loses_no_commit(is_fenced, steps, answers):
    model = Model(steps, registers_at_once=True)
    play(model, PrimaryHealth.STALLED, answers, is_fenced)
    assert model.lost == []


@pytest.mark.parametrize("is_fenced", [True, False], ids=["fenced", "unfenced"])
@given(
    history=HISTORY,
    is_sampled=st.booleans(),
    steps=draw_steps(DEPARTURE_EVENTS),
    answers=ANSWERS,
)
@example(
    history=[("commit", "b"), ("leave", "b")], is_sampled=True, steps=[], answers=[]
)
@example(
    history=[("commit", "b"), ("leave", "b")], is_sampled=False, steps=[], answers=[]
)
@example(
    history=[], is_sampled=True, steps=[[("commit", "b"), ("leave", "b")]], answers=[]
)
@settings(max_examples=300)
def test_primary_that_replies_is_replaced_by_none_that_lacks_commits_of_departed(
    is_fenced, history, is_sampled, steps, answers
):
    # A replica acknowledged commits and left; the others received none of them.
    model = Model(steps, True, history, is_sampled)
    play(model, PrimaryHealth.STALLED, answers, is_fenced)
    assert model.lost == []
