import pytest

from ebonyrack.members import presence as module
from ebonyrack.members.presence import DEPARTED_GRACE_S
from ebonyrack.members.presence import PREFIX
from ebonyrack.members.presence import Presence
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
