import pytest

from ebonyrack.config.document import parse_all_sections
from ebonyrack.config.document import parse_document

VALID_TEXT = """
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


def list_error_keys(text):
    document, errors = parse_document(text, 7)
    assert document is None
    return {(error.section, error.key) for error in errors}


def test_valid_document_is_parsed():
    document, errors = parse_document(VALID_TEXT, 7)
    assert errors == ()
    assert document.revision == 7
    group = document.groups["scheduling-a"]
    assert [upstream.name for upstream in group.upstreams] == ["up-1", "up-2", "up-3"]


def test_all_errors_are_reported():
    text = VALID_TEXT.replace("@nonthaburi", "") + "[colour red]\nx = 1\n"
    document, errors = parse_document(text, 7)
    assert document is None
    assert {error.section for error in errors} == {"group scheduling-a", "colour red"}


def test_errors_across_sections_are_reported_together():
    text = VALID_TEXT.replace("groups = scheduling-a", "groups = nowhere")
    text = text.replace("up-2=127.0.2.2", "up-2=127.0.2.1")
    text = text.replace(
        "owner = databases",
        "owner = databases\nleaving = up-9\nconnection_reserve = 20",
    )
    text += (
        "[application other]\nowner = x\nuser = booking\nverifier =\n"
        "groups = scheduling-a\n"
    )
    assert list_error_keys(text) == {
        ("group scheduling-a", "leaving"),
        ("group scheduling-a", "connection_reserve"),
        ("group scheduling-a", "upstreams"),
        ("application booking", "groups"),
        ("application other", "user"),
    }


@pytest.mark.parametrize(
    ("keys", "is_error"),
    [
        ("slow_answer_s = 0.3\nsuspect_after_s = 0.3", True),
        ("slow_answer_s = 0.2\nsuspect_after_s = 0.3", False),
        ("slow_answer_s = 0\nsuspect_after_s = 0.1", False),
        ("suspect_after_s = 0.1", False),
    ],
)
def test_slow_answer_s_must_be_below_suspect_after_s(keys, is_error):
    text = VALID_TEXT.replace("owner = databases", f"owner = databases\n{keys}")
    _, errors = parse_document(text, 7)
    assert [error.key for error in errors] == ["slow_answer_s"] * is_error


@pytest.mark.parametrize("key", ["read_policy", "acknowledge_policy", "contract"])
def test_unknown_policies_are_rejected(key):
    text = VALID_TEXT.replace("owner = databases", f"owner = databases\n{key} = other")
    assert list_error_keys(text) == {("group scheduling-a", key)}


@pytest.mark.parametrize(
    "line",
    ["  [operator eve]", "\x0b[operator eve]", "[DEFAULT]", "[operator eve]x]"],
)
def test_headers_that_are_split_differently_are_rejected(line):
    text = f"[network siam]\n{line}\nacts_for = administrators\nowner = x\n"
    document, errors = parse_document(VALID_TEXT + text, 7)
    assert document is None
    assert any("header" in error.text for error in errors)


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
        (VALID_TEXT, ""),
    ],
)
def test_incremental_parsing_equals_full_parsing(old, new):
    previous, _ = parse_document(VALID_TEXT, 1)
    text = VALID_TEXT.replace(old, new)
    assert parse_document(text, 2, previous=previous) == parse_all_sections(
        text, 2, "document"
    )


def test_unchanged_sections_are_reused():
    previous, _ = parse_document(VALID_TEXT, 1)
    document, _ = parse_document(
        VALID_TEXT.replace("user =", "user  ="), 2, "x", previous
    )
    assert document.groups["scheduling-a"] is previous.groups["scheduling-a"]


def test_upstreams_must_be_in_data_centres_of_a_network():
    network = "[network siam]\nowner = network\ndata_centres = {}\n"
    all_three = network.format("bangkok-1 bangkok-2 nonthaburi")
    assert parse_document(VALID_TEXT + all_three, 7)[1] == ()
    errors = parse_document(VALID_TEXT + network.format("bangkok-1 bangkok-2"), 7)[1]
    assert [(error.section, error.key) for error in errors] == [
        ("group scheduling-a", "upstreams")
    ]
    assert "nonthaburi" in errors[0].text
