import pytest

from ebonyrack.config.document import parse_document

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
