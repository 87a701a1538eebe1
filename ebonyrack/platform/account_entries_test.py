"""Client accounts of the operators' configuration, well and badly formed."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from ebonyrack.platform.route_document import decode_document
from ebonyrack.routes.account import ClientAccount
from ebonyrack.routes.account import digest_key
from ebonyrack.standins.line_system import build_document
from ebonyrack.standins.line_system import require_accounts

KEY = "hacruddedev3nax7u27g"
OTHER_KEY = "xprymh2rrytapjsujqur"
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda each: st.lists(each) | st.dictionaries(st.text(), each),
    max_leaves=5,
)


def decode(**fields):
    tenant = {"name": "bode960", "apiKeys": [KEY, OTHER_KEY], **fields}
    document = {**require_accounts(build_document(7), {}), "tenants": [tenant]}
    return decode_document(json.dumps(document).encode())


def test_accounts_are_decoded():
    table = decode(priority=1, ratePerS=160, burst=80).ok_value
    assert table.requires_accounts
    expected = ClientAccount("bode960", 1, 160.0, 80.0)
    assert table.accounts == {"bode960": expected}
    assert table.find_account(digest_key(KEY.encode())) == expected
    assert table.find_account(digest_key(OTHER_KEY.encode())) == expected
    assert table.find_account(digest_key(b"unknown")) is None
    assert not any(route.allows_anonymous for route in table.routes.values())


def test_account_without_limits_is_unlimited():
    table = decode().ok_value
    assert table.accounts["bode960"].rate_per_s is None


def test_document_without_accounts_serves_everyone():
    table = decode_document(json.dumps(build_document(7)).encode()).ok_value
    assert not table.requires_accounts
    assert all(route.allows_anonymous for route in table.routes.values())


def test_withdrawing_all_accounts_serves_nobody():
    document = require_accounts(build_document(7), {})
    table = decode_document(json.dumps(document).encode()).ok_value
    assert table.requires_accounts
    assert not any(route.allows_anonymous for route in table.routes.values())


@pytest.mark.parametrize(
    "fields",
    [
        {"ratePerS": -1},
        {"ratePerS": "160"},
        {"ratePerS": None},
        {"ratePerS": True},
        {"ratePerS": float("nan")},
        {"ratePerS": float("inf")},
        {"ratePerS": 10**400},
        {"burst": -0.5},
        {"burst": []},
        {"priority": -1},
        {"priority": 1.5},
        {"name": None},
        {"name": ""},
        {"name": "-"},
        {"name": "two words"},
        {"name": "line\r\nQUERY"},
        {"name": "\ud800"},
        {"apiKeys": None},
        {"apiKeys": KEY},
        {"apiKeys": [7]},
        {"apiKeys": [""]},
        {"apiKeys": [KEY, "\ud800" + OTHER_KEY]},
    ],
)
def test_malformed_account_rejects_the_version_without_telling_a_key(fields):
    result = decode(**fields)
    assert isinstance(result, Err)
    assert KEY not in result.err_value
    assert OTHER_KEY not in result.err_value


@pytest.mark.parametrize("field", ["name", "apiKeys"])
def test_account_without_name_or_keys_rejects_the_version(field):
    document = require_accounts(build_document(7), {"bode960": [KEY]})
    del document["tenants"][0][field]
    assert isinstance(decode_document(json.dumps(document).encode()), Err)


@pytest.mark.parametrize(
    "tenants",
    [
        [{"name": "a", "apiKeys": [KEY]}, {"name": "b", "apiKeys": [KEY]}],
        [{"name": "a", "apiKeys": [KEY]}, {"name": "a", "apiKeys": [OTHER_KEY]}],
        {"a": [KEY]},
        [KEY],
        None,
    ],
)
def test_ambiguous_accounts_reject_the_version(tenants):
    document = {**build_document(7), "tenants": tenants}
    result = decode_document(json.dumps(document).encode())
    assert isinstance(result, Err)
    assert KEY not in result.err_value


def test_bytes_that_are_no_text_are_rejected_without_telling_a_key():
    text = json.dumps(require_accounts(build_document(7), {"a": [KEY]}))
    result = decode_document(text.encode() + b"\xff")
    assert isinstance(result, Err)
    assert KEY not in result.err_value


@given(JSON_VALUES, st.sampled_from(["name", "apiKeys", "priority", "ratePerS"]))
def test_any_account_is_decoded_or_rejected(value, field):
    result = decode(**{field: value})
    if isinstance(result, Err):
        return
    for name in result.ok_value.account_names.values():
        account = result.ok_value.accounts[name]
        assert account.name == name and len(name.split()) == 1
        assert account.rate_per_s is None or account.rate_per_s >= 0


@given(JSON_VALUES, st.sampled_from(["tenants", "routes", "version"]))
def test_any_document_is_decoded_or_rejected(value, field):
    document = {**require_accounts(build_document(7), {"a": [KEY]}), field: value}
    result = decode_document(json.dumps(document).encode())
    assert isinstance(result, Err) or result.ok_value.accounts.keys() <= {"a"}
