"""Decoding of settings, member entries and routes in the platform's formats."""

import json

import pytest
from result import Err

from ebonyrack.core.address import Address
from ebonyrack.platform.member_entries import decode_entry
from ebonyrack.platform.route_document import decode_document
from ebonyrack.platform.settings_file import parse_settings
from ebonyrack.routes.route import Consistency
from ebonyrack.standins.line_system import build_document
from ebonyrack.store.leasing_store import StoreItem

SETTINGS = """\
nodeName=front-bkk-a-1
zone=bkk-a
listen.front=10.1.0.8:8784
listen.healthAddr=10.1.0.8:8785
platform.address=10.200.1.7:8783
cloud.address=10.200.0.160:8783
heartbeatMs=1200
bounds.graceS=6
bounds.drainMs=7000
limits.unheard.of=1
"""
ENTRY = {
    "service": "scheduling",
    "address": "10.128.0.9:8080",
    "zone": "bkk-a",
    "version": "v1",
    "slots": 3,
    "phase": "ready",
    "coldRemainingMs": 0,
    "dbRole": "replica",
    "sequence": 4,
    "born": 1790000000000,
}


def build_item(value):
    return StoreItem("servers/i-7f", value, 12, 10)


def test_settings_are_parsed():
    settings = parse_settings(SETTINGS, "boot.conf").ok_value
    assert settings.name == "front-bkk-a-1"
    assert settings.caller_address == Address("10.1.0.8", 8784)
    assert settings.grace_s == 6.0


BOUNDS = """\
bounds.quotaWindowS=5
bounds.quotaOvershoot=0.1
bounds.quotaSlack=20
"""


def test_bounds_of_limits_are_optional():
    settings = parse_settings(SETTINGS, "boot.conf").ok_value
    assert settings.limit_window_s is None
    settings = parse_settings(SETTINGS + BOUNDS, "boot.conf").ok_value
    assert settings.limit_window_s == 5.0
    assert (settings.limit_overshoot, settings.limit_slack) == (0.1, 20.0)
    text = SETTINGS + BOUNDS.replace("0.1", "-0.1").replace("=20", "=inf")
    assert len(parse_settings(text, "boot.conf").err_value) == 2


NETWORK = """\
ip=10.1.0.8
internalPorts=7440,7455
limits.cpuShare=0.5
limits.cores=2
"""


def test_network_and_processor_are_optional():
    settings = parse_settings(SETTINGS, "boot.conf").ok_value
    assert (settings.peer_address, settings.processor_share) == (None, 1.0)
    settings = parse_settings(SETTINGS + NETWORK, "boot.conf").ok_value
    assert settings.peer_address == Address("10.1.0.8", 7440)
    assert settings.processor_share == 1.0
    text = SETTINGS + NETWORK.replace("cores=2", "cores=4.3")
    assert parse_settings(text, "boot.conf").ok_value.processor_share == 2.15


@pytest.mark.parametrize(
    ("known", "changed"),
    [("=7440", "=x"), ("=2", "=0"), ("0.5", "nan"), ("ip=10", "ip=front")],
)
def test_malformed_network_and_processor_are_reported(known, changed):
    text = SETTINGS + NETWORK.replace(known, changed)
    assert len(parse_settings(text, "boot.conf").err_value) == 1


def test_all_configuration_errors_are_reported_together():
    text = SETTINGS.replace("graceS=6", "graceS=soon").replace("nodeName=", "name=")
    text += "no equals sign\n"
    errors = parse_settings(text, "boot.conf").err_value
    assert {error.key for error in errors} == {"nodeName", "bounds.graceS", "line 11"}


@pytest.mark.parametrize("value", ["0", "-1", "inf", "nan", ""])
def test_duration_must_be_finite_and_above_zero(value):
    text = SETTINGS.replace("graceS=6", f"graceS={value}")
    assert isinstance(parse_settings(text, "boot.conf"), Err)


def test_entry_is_decoded():
    entry = decode_entry(build_item(json.dumps(ENTRY).encode())).ok_value
    assert entry.member_id == "i-7f"
    assert entry.group == "scheduling"
    assert not entry.is_leaving
    assert not entry.reports_primary
    assert entry.revision == 12


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"service": 7},
        {"address": "somewhere"},
        {"phase": "resting"},
        {"dbRole": "king"},
        {"born": "now"},
        {"born": 1.5},
        {"born": True},
        {"slots": "3"},
        {"zone": ["a"]},
        {"phase": ["ready"]},
    ],
)
def test_entry_with_an_invalid_field_is_rejected(changes):
    item = build_item(json.dumps({**ENTRY, **changes}).encode())
    assert isinstance(decode_entry(item), Err)


@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b"7", b"null", b'"text"'])
def test_malformed_bytes_are_rejected(value):
    assert isinstance(decode_entry(build_item(value)), Err)
    assert isinstance(decode_document(value), Err)


def test_routes_are_decoded():
    document = build_document(7, booking={"unheard": 1})
    table = decode_document(json.dumps(document).encode()).ok_value
    assert table.version == 7
    route = table.routes[b"confirmation"]
    assert route.consistency is Consistency.READ_YOUR_WRITES
    assert (route.statement_timeout_s, route.maximum_age_s) == (0.8, 1.5)
    assert table.groups["scheduling"].acknowledging_replicas == 1


@pytest.mark.parametrize("field", ["version", "routes", "services", "limits"])
def test_routes_with_a_missing_field_are_rejected(field):
    document = build_document(7)
    del document[field]
    assert isinstance(decode_document(json.dumps(document).encode()), Err)


@pytest.mark.parametrize(
    "character", ["\x85", "\u2028", "\u2029", "\x0b", "\x0c", "\x1c", "\x1e", "\r"]
)
def test_settings_end_lines_at_line_feeds_only(character):
    # Such a character in a field that isn't known kept the process from starting.
    text = SETTINGS.replace("unheard.of=1", f"unheard.of=a{character}b")
    assert parse_settings(text, "boot.conf").ok_value.name == "front-bkk-a-1"
    text = SETTINGS.replace("nodeName=front-bkk-a-1", f"nodeName=a{character}b")
    (error,) = parse_settings(text, "boot.conf").err_value
    assert error.key == "nodeName"
    text = SETTINGS.replace("\n", "\r\n")
    assert parse_settings(text, "boot.conf").ok_value.name == "front-bkk-a-1"
