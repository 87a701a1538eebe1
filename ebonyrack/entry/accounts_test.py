"""Callers identified by the keys of client accounts."""

import asyncio
import json

import pytest
from loguru import logger

from ebonyrack.core import logs
from ebonyrack.core import metrics
from ebonyrack.requests.codec import Startup
from ebonyrack.routes.account import digest_key
from ebonyrack.standins.line_system import build_document
from ebonyrack.standins.line_system import require_accounts

LIMIT_S = 3.0
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


async def test_statements_run_on_connections_of_their_account(system, connect):
    await system.change_document(build_version(2))
    callers = [await connect("booking", key=key) for key in ("key-1", "key-3")]
    for caller in callers * 3:
        await caller.execute(f"READ {caller.key}")
    accounts = {(each.text, each.account) for each in system.group.records}
    runs = {each for each in accounts if each[0].startswith("READ")}
    assert runs == {("READ key-1", "bode960"), ("READ key-3", "palu17")}


async def test_metrics_of_accounts_are_recorded(system, connect, monkeypatch):
    class Recorder:
        def __init__(self):
            self.labels = []

        def add(self, amount, labels):
            self.labels.append(labels)

    requests, refused = Recorder(), Recorder()
    monkeypatch.setattr(metrics, "account_requests", requests)
    monkeypatch.setattr(metrics, "sessions_refused", refused)
    await system.change_document(build_version(2))
    await (await connect("booking", key="key-1")).execute("READ slot-1")
    await connect("booking", key="key-9")
    assert requests.labels == [{"account": "other", "outcome": "served"}]
    assert refused.labels == [{"error": "unknown_account"}]


async def test_malformed_startup_takes_nothing_down(system, connect):
    await system.change_document(build_version(2))
    served = await connect("booking", key="key-1")
    for key in ("\0", "key-1 \x7f", "x" * (1024 * 1024 + 100)):
        caller = await connect("booking", key=key)
        assert not caller.startup_reply.startswith("READY")
    assert (await served.execute("READ slot-1"))[0] == "DATAROW none"


@pytest.mark.parametrize(
    "data",
    [
        b"STARTUP\r\n",
        b"STARTUP booking\r\n",
        b"STARTUP  key-1\r\n",
        b"startup booking key-1\r\n",
        b"\xff\xfe\x00\r\n",
        b"STARTUP booking \xff\xfe\r\n",
        b"STARTUP \xff key-1\r\n",
        b"\r\n",
        b"QUERY 1 READ slot-1\r\n",
    ],
)
async def test_startup_of_any_bytes_is_refused(system, connect, data):
    await system.change_document(build_version(2))
    served = await connect("booking", key="key-1")
    address = system.proxies[0].proxy.settings.caller_address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    async with asyncio.timeout(LIMIT_S):
        assert (await reader.read()).startswith(b"ERROR ")
    writer.close()
    assert (await served.execute("READ slot-1"))[0] == "DATAROW none"


@pytest.fixture
def log_lines(monkeypatch):
    """Collect the lines of the log as a daemon writes them."""

    class Options:
        level = "debug"
        decision_sampling = 1.0

    class Writer:
        def put(self, line):
            lines.append(line)

    lines = []
    monkeypatch.setattr(logs, "writer", Writer())
    logs.start_logging(Options(), "proxy-0")
    yield lines
    logger.remove()


async def test_no_key_stands_in_the_log(system, connect, log_lines, monkeypatch):
    await system.change_document(build_version(2, {"bode960": ["secret-1"]}))
    served = await connect("booking", key="secret-1")
    await served.execute("READ slot-1")
    await connect("booking", key="secret-2")
    document = build_version(3, {"bode960": ["secret-1"], "palu17": ["secret-1"]})
    await system.publish_document(document)
    while not any("routes_rejected" in line for line in log_lines):
        await asyncio.sleep(0.01)
    await system.change_document(build_version(4, {"bode960": []}))

    def fail(services, route, key_digest):
        secret = "secret-3"
        raise ValueError(len(secret))

    monkeypatch.setattr("ebonyrack.serving.services.Services.find_account", fail)
    await connect("booking", key="secret-3")
    text = "".join(log_lines)
    events = {json.loads(line)["event"] for line in log_lines}
    assert events >= {"session_refused", "account_withdrawn", "caller_task_failed"}
    assert "secret-1" not in text and "secret-2" not in text
    # The source line that raises is shown, the values of its variables are not.
    assert "'secret-3'" not in text and "key_digest=" not in text
    startup = Startup(b"booking", digest_key(b"secret-1"))
    assert repr(startup.key_digest) not in repr(startup)
