import itertools

import pytest

from ebonyrack.config.document import parse_document
from ebonyrack.config.stored import EditRecord
from ebonyrack.config.upstream_change import PROPAGATION_LIMIT_S
from ebonyrack.config.upstream_change import check_upstream_changes

CURRENT_TIME_S = 1_800_000_000


def build_document(*names, address_shift=0):
    upstreams = " ".join(
        f"{name}=127.0.2.{number + address_shift}:5432@bangkok-1"
        for number, name in enumerate(names, 1)
    )
    text = f"[group a]\nowner = databases\nupstreams = {upstreams}\n"
    document, errors = parse_document(text, 1)
    assert errors == ()
    return document


def check(before, after, *history):
    return check_upstream_changes(before, after, history, CURRENT_TIME_S)


def record(age_s, section="group a"):
    return EditRecord(7, "edit", "ada", CURRENT_TIME_S - age_s, (section,))


def test_one_upstream_may_be_added_or_removed():
    three = build_document("up-1", "up-2", "up-3")
    four = build_document("up-1", "up-2", "up-3", "up-4")
    assert check(three, four) == ()
    assert check(four, three) == ()
    assert check(three, three, record(0)) == ()


@pytest.mark.parametrize(
    "after",
    [
        build_document("up-1", "up-2", "up-4"),
        build_document("up-1"),
        build_document("up-1", "up-2", "up-3", address_shift=1),
    ],
)
def test_replacing_an_upstream_in_one_edit_is_refused(after):
    (reason,) = check(build_document("up-1", "up-2", "up-3"), after)
    assert "one upstream at a time" in reason


def test_change_soon_after_another_of_the_group_is_refused():
    three = build_document("up-1", "up-2", "up-3")
    four = build_document("up-1", "up-2", "up-3", "up-4")
    assert check(three, four, record(PROPAGATION_LIMIT_S)) == ()
    assert check(three, four, record(1, "group b")) == ()
    assert "revision 7" in check(three, four, record(1))[0]


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5])
def test_majorities_overlap_across_one_change(size):
    before = range(size)
    after = range(size + 1)
    for old in itertools.combinations(before, size // 2 + 1):
        for new in itertools.combinations(after, (size + 1) // 2 + 1):
            assert set(old) & set(new)
