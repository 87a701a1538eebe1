"""Callers identified by the keys of client accounts."""

from ebonyrack.standins.line_system import build_document
from ebonyrack.standins.line_system import require_accounts

KEYS = {"bode960": ["key-1", "key-2"], "palu17": ["key-3"]}


def build_version(version, keys=KEYS):
    return require_accounts(build_document(version), keys)


async def test_known_key_is_served(system, connect):
    await system.change_document(build_version(2))
    for key in ("key-1", "key-2", "key-3"):
        caller = await connect("booking", key=key)
        assert caller.startup_reply == "READY I -"
        assert (await caller.execute("READ slot-1"))[0] == "DATAROW none"


async def test_unknown_key_is_denied(system, connect):
    await system.change_document(build_version(2))
    for key in ("key-9", "bode960", "", "key-1 "):
        caller = await connect("booking", key=key)
        assert caller.startup_reply.startswith("ERROR DENIED")


async def test_route_that_allows_anonymous_callers_serves_any_key(system, connect):
    document = build_version(2)
    document["routes"][0]["allowAnonymous"] = True
    await system.change_document(document)
    assert (await connect("booking", key="key-9")).startup_reply == "READY I -"
    caller = await connect("calendar", key="key-9")
    assert caller.startup_reply.startswith("ERROR DENIED")


async def test_malformed_startup_takes_nothing_down(system, connect):
    await system.change_document(build_version(2))
    served = await connect("booking", key="key-1")
    for key in ("\0", "key-1 \x7f", "x" * (1024 * 1024 + 100)):
        caller = await connect("booking", key=key)
        assert not caller.startup_reply.startswith("READY")
    assert (await served.execute("READ slot-1"))[0] == "DATAROW none"
