import pytest

from ebonyrack.core.registry import Registry


def test_registered_entry_is_found_by_name():
    policies: Registry = Registry("read policy")

    @policies.register("first")
    def choose_first():
        return 1

    assert policies.get("first") is choose_first


def test_name_can_be_registered_only_once():
    policies: Registry = Registry("read policy")
    policies.register("first")(1)
    with pytest.raises(ValueError, match="registered already"):
        policies.register("first")(2)


def test_unknown_name_lists_the_known_ones():
    policies: Registry = Registry("read policy")
    policies.register("first")(1)
    with pytest.raises(KeyError, match="known: first"):
        policies.get("second")
