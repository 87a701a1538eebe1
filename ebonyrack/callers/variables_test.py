import pytest

from ebonyrack.callers.variables import SessionVariables
from ebonyrack.core.errors import RequestError


def test_show_reports_a_planner_setting_as_the_session_set_it():
    variables = SessionVariables("group", b"key")
    assert variables.show("jit") == "off"
    variables.set("jit", "on")
    variables.set("geqo", "'off'")
    assert variables.show("jit") == "on"
    assert variables.show("geqo") == "off"
    variables.reset("jit")
    assert variables.show("jit") == "off"
    variables.set("geqo", "default")
    assert variables.show("geqo") == "on"
    variables.set("jit", "on")
    variables.reset("all")
    assert variables.show("jit") == "off"


def test_setting_that_would_change_results_is_rejected():
    variables = SessionVariables("group", b"key")
    variables.set("extra_float_digits", "3")
    with pytest.raises(RequestError):
        variables.set("extra_float_digits", "0")
