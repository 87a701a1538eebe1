"""Every decoder of values that another program wrote, on anything it may hold."""

import asyncio
import base64
import copy
import json
import math

import msgpack
import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from result import Err
from result import Ok

from ebonyrack.config.stored import BadStoredDocumentError
from ebonyrack.config.stored import unpack_stored
from ebonyrack.limits.shard_key import decode_levels
from ebonyrack.limits.shard_key import decode_owner
from ebonyrack.peers.proxy_entry import decode_entry as decode_proxy_entry
from ebonyrack.platform.kv_bodies import decode_changes
from ebonyrack.platform.kv_bodies import read_body
from ebonyrack.platform.kv_store import KvStore
from ebonyrack.platform.member_entries import decode_entry
from ebonyrack.platform.route_document import decode_document
from ebonyrack.platform.settings_file import parse_settings
from ebonyrack.platform.store_era import StoreEra
from ebonyrack.platform.store_era import read_era
from ebonyrack.platform.upstream_codec import LineUpstreamCodec
from ebonyrack.promotion.open_order import parse_open_order
from ebonyrack.requests.reply import Reply
from ebonyrack.standins.line_system import build_document
from ebonyrack.standins.line_system import require_accounts
from ebonyrack.store.http_client import HttpResponse
from ebonyrack.store.leasing_store import StoreItem
from ebonyrack.store.store_response import StoreResponse
from ebonyrack.store.store_response import read_index
from ebonyrack.store.store_response import read_value
from ebonyrack.store.vm_list import read_listing

NESTED = b"[" * 3000
ODD_VALUES = st.one_of(
    st.sampled_from(
        [None, True, -1, 0, 2**64, 10**300, -(10**300), 1e308, math.inf, math.nan]
        + ["", "-", "\ud800", "a\r\nb", "127.0.0.1:99999", "²", [], {}, [[]], {"a": 1}]
    ),
    st.recursive(
        st.none() | st.integers() | st.floats() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.text(max_size=3), inner, max_size=3)
        ),
        max_leaves=5,
    ),
)
ENTRY = {
    "service": "scheduling",
    "address": "10.128.0.9:8080",
    "zone": "bkk-a",
    "slots": 3,
    "phase": "ready",
    "dbRole": "replica",
    "born": 1790000000000,
}
DOCUMENT = require_accounts(
    build_document(7), {"acme": ["key"]}, acme={"ratePerS": 5, "burst": 2}
)


@st.composite
def odd_json(draw, document):
    """A document with some of its values replaced, or anything."""
    value = json.loads(json.dumps(document))
    for _ in range(draw(st.integers(1, 3))):
        place = value
        while True:
            if isinstance(place, dict):
                key = draw(st.sampled_from(sorted(place)))
            else:
                key = draw(st.integers(0, len(place) - 1))
            if not isinstance(place[key], dict | list) or not place[key]:
                break
            if draw(st.booleans()):
                break
            place = place[key]
        # The values are shared by all examples.
        place[key] = copy.deepcopy(draw(ODD_VALUES))
    return json.dumps(value).encode()


def odd_values(document):
    return st.one_of(odd_json(document), st.binary(max_size=40))


def item(value, key="servers/i-7f"):
    return StoreItem(key, value, 12, 10)


@given(value=odd_values(ENTRY))
@example(value=NESTED)
@settings(max_examples=300)
def test_entries(value):
    found = decode_entry(item(value))
    if isinstance(found, Ok):
        assert 0 < found.ok_value.address.port < 65536
        assert found.ok_value.group.isprintable()


@given(value=odd_values(DOCUMENT))
@example(value=NESTED)
@example(value=json.dumps(build_document(7, booking={"timeoutMs": 1e999})).encode())
@example(value=json.dumps(build_document(10**400)).encode())
@settings(max_examples=500)
def test_documents(value):
    found = decode_document(value)
    if isinstance(found, Err):
        return
    table = found.ok_value
    assert 0 <= table.version < 2**63
    for route in table.routes.values():
        durations = (
            route.statement_timeout_s,
            route.target_latency_s,
            route.maximum_age_s,
            table.transaction_idle_s,
            table.message_timeout_s,
        )
        assert all(0 <= each < math.inf for each in durations)
    for group in table.groups.values():
        assert 0 <= group.maximum_connections < 2**31
        assert 0 <= group.acknowledging_replicas < 2**31


@given(
    value=st.one_of(st.binary(max_size=60), ODD_VALUES.map(json.dumps).map(str.encode))
)
@example(value=NESTED)
@example(value=b'{"a": ' + b"9" * 400 + b"}")
@example(value=b'{"a": 1e999, "b": 2}')
def test_values_of_limits(value):
    assert all(map(math.isfinite, decode_levels(value).values()))
    decode_owner(value)


@given(value=st.binary(max_size=60))
@example(value=b"\x91" * 3000)
@example(value=msgpack.packb([1, "127.0.0.1:1", "a", 1e300, "b"]))
@example(value=msgpack.packb([1, "127.0.0.1:0", "a", 1.0, "b"]))
def test_values_of_proxies(value):
    entry = decode_proxy_entry("proxy-1", value)
    assert entry is None or 0 < entry.processor_share < 1e6


@pytest.mark.parametrize("token", ["²", "9" * 5000, "-1", "1 2", ""])
def test_records_of_orders(token):
    found = parse_open_order(item(f"up-2 {token}".encode()))
    assert found.fencing_token == 0


@pytest.mark.parametrize("value", [b"", b"\xff" * 9, NESTED, b"x\x9c\x03\x00"])
def test_stored_documents(value):
    with pytest.raises(BadStoredDocumentError):
        unpack_stored(value)


@pytest.mark.parametrize("body", [NESTED, b"1" * 5000, b"[]", b"{}", b"[{}]", b"\xff"])
def test_responses_of_stores(body):
    assert isinstance(read_value(StoreResponse(200, 1, body)), Err)
    if body not in (b"[]", b"[{}]"):
        assert isinstance(read_listing(StoreResponse(200, 1, body)), Err)
    if body != b"{}":
        assert isinstance(read_body(HttpResponse(200, (), body), (200,)), Err)


@pytest.mark.parametrize(
    "number", [b"", b"9" * 5000, b"-1", b"\xb2", b"1e5", b"1" * 30]
)
def test_numbers_in_headers(number):
    assert read_era(HttpResponse(200, ((b"Store-Era", number),), b"")) is None
    assert read_index(HttpResponse(200, ((b"X-Consul-Index", number),), b"")) == 0


EVENT = {"key": "a", "value": "aGk=", "revision": 3, "createdRev": 3, "lease": 0}


@given(change=st.fixed_dictionaries({}, optional=dict.fromkeys(EVENT, ODD_VALUES)))
@example(change={"revision": math.inf})
@example(change={"value": "?"})
def test_malformed_item_does_not_hide_the_others(change):
    good = {**EVENT, "key": "b"}
    body = {"events": [{**EVENT, **change}, good], "currentRev": 9}
    found = decode_changes(body, StoreEra())
    if isinstance(found, Ok):
        assert {"b"} <= {each.key for each in found.ok_value.items}
    else:
        assert not isinstance(change.get("key", "a"), str)


@pytest.mark.parametrize(
    "value", [{"value": "?"}, {"revision": 1e999}, {"lease": None}]
)
async def test_malformed_item_of_a_reading_does_not_hide_the_others(value, monkeypatch):
    store = KvStore(None)
    items = [{**EVENT, **value}, {**EVENT, "key": "b"}]
    body = json.dumps({"items": items, "currentRev": 9, "truncated": False}).encode()

    async def get(self, kind, path, query, wait_s=0.0):
        return Ok(HttpResponse(200, (), body))

    monkeypatch.setattr(KvStore, "get", get)
    found = await store.read_prefix("")
    assert [each.key for each in found.ok_value.items] == ["a", "b"]


async def test_page_that_is_sent_again_ends_a_reading(monkeypatch):
    body = json.dumps({"items": [EVENT], "currentRev": 9, "truncated": True}).encode()

    async def get(self, kind, path, query, wait_s=0.0):
        await asyncio.sleep(0)
        return Ok(HttpResponse(200, (), body))

    monkeypatch.setattr(KvStore, "get", get)
    async with asyncio.timeout(5.0):
        assert isinstance(await KvStore(None).read_prefix(""), Err)


@given(row=st.binary(max_size=60))
@example(row=b"primary 1 1.1 0 " + b"9" * 5000 + b" 0 0")
@example(row=b"primary " + b"9" * 5000 + b" 1.1 0 0 0 0")
@example(row=b"primary 1 1.1 0 nan 0 0")
@example(row=b"primary 1 1.1 0 1e999 0 0")
@example(row=b"primary -1 1.1 0 0 0 0")
@example(row=b"primary " + b"9" * 30 + b" 1.1 0 0 0 0")
def test_status_of_upstreams(row):
    found = LineUpstreamCodec().read_status(Reply(rows=[row]))
    if isinstance(found, Ok):
        assert math.isfinite(found.ok_value.lag_s)
        assert 0 <= found.ok_value.term < 2**63


@given(text=st.text(max_size=80))
@example(text="bounds.graceS=" + "9" * 5000)
@example(text="listen.front=10.1.0.8:" + "9" * 5000)
@example(text="limits.cores=1e999\nlimits.cpuShare=1e999")
def test_settings_files(text):
    assert isinstance(parse_settings(text, "boot.conf"), Err)


def test_item_is_decoded():
    changes = decode_changes({"events": [EVENT], "currentRev": 9}, StoreEra()).ok_value
    assert changes.items[0].value == base64.b64decode("aGk=")
