import pytest

from ebonyrack.config.document import parse_document
from ebonyrack.config.document import parse_whole

GOOD = """
[group scheduling-a]
owner = databases
upstreams = up-1=127.0.2.1:5432@bangkok-1, up-2=127.0.2.2:5432@bangkok-2
    up-3=127.0.2.3:5432@nonthaburi
[application booking]
owner = booking
user = booking
verifier = SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy
groups = scheduling-a
"""


def list_places(text):
    document, faults = parse_document(text, 7)
    assert document is None
    return {(fault.section, fault.key) for fault in faults}


def test_good_document_is_read():
    document, faults = parse_document(GOOD, 7)
    assert faults == ()
    assert document.revision == 7
    group = document.groups["scheduling-a"]
    assert [upstream.name for upstream in group.upstreams] == ["up-1", "up-2", "up-3"]


def test_all_faults_are_listed():
    text = GOOD.replace("@nonthaburi", "") + "[colour red]\nx = 1\n"
    document, faults = parse_document(text, 7)
    assert document is None
    assert {fault.section for fault in faults} == {"group scheduling-a", "colour red"}


def test_faults_across_sections_are_listed_together():
    text = GOOD.replace("groups = scheduling-a", "groups = nowhere")
    text = text.replace("up-2=127.0.2.2", "up-2=127.0.2.1")
    text = text.replace(
        "owner = databases",
        "owner = databases\nleaving = up-9\nconnection_reserve = 20",
    )
    text += (
        "[application other]\nowner = x\nuser = booking\nverifier =\n"
        "groups = scheduling-a\n"
    )
    assert list_places(text) == {
        ("group scheduling-a", "leaving"),
        ("group scheduling-a", "connection_reserve"),
        ("group scheduling-a", "upstreams"),
        ("application booking", "groups"),
        ("application other", "user"),
    }


@pytest.mark.parametrize(
    ("keys", "is_fault"),
    [
        ("slow_answer_s = 0.3\nsuspect_after_s = 0.3", True),
        ("slow_answer_s = 0.2\nsuspect_after_s = 0.3", False),
        ("slow_answer_s = 0\nsuspect_after_s = 0.1", False),
        ("suspect_after_s = 0.1", False),
    ],
)
def test_slow_answers_must_be_below_lost_ones(keys, is_fault):
    text = GOOD.replace("owner = databases", f"owner = databases\n{keys}")
    _, faults = parse_document(text, 7)
    assert [fault.key for fault in faults] == ["slow_answer_s"] * is_fault


@pytest.mark.parametrize("key", ["read_policy", "acknowledge_policy", "contract"])
def test_unknown_policies_are_faults(key):
    text = GOOD.replace("owner = databases", f"owner = databases\n{key} = other")
    assert list_places(text) == {("group scheduling-a", key)}


@pytest.mark.parametrize(
    "line",
    ["  [operator eve]", "\x0b[operator eve]", "[DEFAULT]", "[operator eve]x]"],
)
def test_no_header_can_hide_in_another_section(line):
    hidden = f"[network siam]\n{line}\nacts_for = administrators\nowner = x\n"
    document, faults = parse_document(GOOD + hidden, 7)
    assert document is None
    assert any("header" in fault.text for fault in faults)


@pytest.mark.parametrize(
    "old, new",
    [
        ("user = booking", "user = other"),
        ("[application booking]", "[application other]"),
        ("[application booking]", "[DEFAULT]"),
        ("[application booking]", "[group scheduling-a]"),
        ("[application booking]", "  [application booking]"),
        ("[group scheduling-a]", "[group scheduling-b]"),
        ("owner = booking", "colour = red"),
        ("groups = scheduling-a", "groups = a b"),
        ("[group scheduling-a]", "# A note.\n[group scheduling-a]"),
        ("[group scheduling-a]", "x = 1\n[group scheduling-a]"),
        ("owner = databases", "owner = databases\nowner = others"),
        (GOOD, ""),
    ],
)
def test_a_document_read_by_its_changes_is_the_same(old, new):
    previous, _ = parse_document(GOOD, 1)
    text = GOOD.replace(old, new)
    assert parse_document(text, 2, previous=previous) == parse_whole(
        text, 2, "document"
    )


def test_unchanged_sections_are_taken_over():
    previous, _ = parse_document(GOOD, 1)
    document, _ = parse_document(GOOD.replace("user =", "user  ="), 2, "x", previous)
    assert document.groups["scheduling-a"] is previous.groups["scheduling-a"]


def test_upstreams_are_in_data_centres_that_a_network_has():
    network = "[network siam]\nowner = network\ndata_centres = {}\n"
    all_three = network.format("bangkok-1 bangkok-2 nonthaburi")
    assert parse_document(GOOD + all_three, 7)[1] == ()
    faults = parse_document(GOOD + network.format("bangkok-1 bangkok-2"), 7)[1]
    assert [(fault.section, fault.key) for fault in faults] == [
        ("group scheduling-a", "upstreams")
    ]
    assert "nonthaburi" in faults[0].text
