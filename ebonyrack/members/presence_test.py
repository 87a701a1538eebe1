import pytest

from ebonyrack.core.address import Address
from ebonyrack.members import presence as module
from ebonyrack.members.presence import DEPARTED_GRACE_S
from ebonyrack.members.presence import PREFIX
from ebonyrack.members.presence import Presence
from ebonyrack.peers.proxy_entry import ProxyEntry
from ebonyrack.peers.proxy_entry import encode_entry
from ebonyrack.store.leasing_store import StoreChanges
from ebonyrack.store.leasing_store import StoreItem


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        time_s = 100.0

    monkeypatch.setattr(module, "boot_time_s", lambda: Clock.time_s)
    return Clock


def build_changes(names, deleted=(), is_complete=False):
    items = tuple(StoreItem(PREFIX + name, b"", 1, 1) for name in names)
    return StoreChanges(items, tuple(PREFIX + name for name in deleted), 1, is_complete)


async def test_live_proxies_that_told_an_address_can_be_asked(clock):
    own = ProxyEntry("a", Address("10.0.0.1", 7440), "dc", 1.0, "1")
    other = ProxyEntry("b", Address("10.0.0.2", 7440), "dc", 2.0, "1")
    presence = Presence(None, "a", lambda: None, own)
    assert presence.proxies == {"a": own}
    items = (
        StoreItem(PREFIX + "b", encode_entry(other), 1, 1),
        StoreItem(PREFIX + "c", b"", 1, 1),
        StoreItem(PREFIX + "d", b"from another writer", 1, 1),
    )
    await presence.apply(StoreChanges(items, (), 1, is_complete=True))
    assert presence.proxies == {"a": own, "b": other}
    assert presence.live_count == 4
    await presence.apply(build_changes(["c"]))
    assert presence.proxies == {"a": own, "b": other}
    await presence.apply(build_changes([], deleted=["b"]))
    assert presence.proxies == {"a": own}


async def test_missing_names_count_until_their_proxies_could_have_restarted(
    clock,
):
    presence = Presence(None, "a", lambda: None)
    await presence.apply(build_changes(["a", "b", "c"], is_complete=True))
    assert presence.live_count == 3
    await presence.apply(build_changes([], deleted=["b", "c"]))
    assert presence.live_count == 3
    clock.time_s += DEPARTED_GRACE_S + 1
    await presence.apply(build_changes([]))
    assert presence.live_count == 1
    await presence.apply(build_changes(["b"]))
    assert presence.live_count == 2
