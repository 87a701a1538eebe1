import asyncio
import contextlib

import msgpack
import pytest
from result import Err
from result import Ok

from ebonyrack.core.address import Address
from ebonyrack.core.route_settings import RouteProxySettings
from ebonyrack.peers import proxy_link
from ebonyrack.peers import proxy_links
from ebonyrack.peers.codec import pack_message
from ebonyrack.peers.hub_test import wait_until
from ebonyrack.peers.message import MESSAGE_TYPES
from ebonyrack.peers.message import Message
from ebonyrack.peers.message import register_message
from ebonyrack.peers.proxy_entry import ProxyEntry
from ebonyrack.peers.proxy_entry import decode_entry
from ebonyrack.peers.proxy_entry import encode_entry
from ebonyrack.peers.proxy_link_messages import ProxyHello
from ebonyrack.peers.proxy_links import ProxyLinks

NOWHERE = Address("127.0.0.1", 1)


@register_message(9010)
class Echo(Message):
    text: str


@register_message(9011)
class Unhandled(Message):
    pass


class Fleet:
    def __init__(self):
        self.proxies = {}
        self.answered = []
        self.can_answer = asyncio.Event()
        self.can_answer.set()

    def build(self, name):
        links = ProxyLinks(build_settings(name), lambda: self.proxies)

        async def answer(sender, message):
            self.answered.append((sender, message.text))
            await self.can_answer.wait()
            return Echo(f"{name}: {message.text}")

        links.register(Echo, answer)
        return links

    def add(self, name, address):
        self.proxies[name] = ProxyEntry(name, address, "a", 1.0, "1")


def build_settings(name):
    return RouteProxySettings(
        name, "a", NOWHERE, NOWHERE, NOWHERE, NOWHERE, 2.0, True, Address(*LISTEN)
    )


LISTEN = ("127.0.0.1", 0)


@pytest.fixture
async def fleet():
    yield Fleet()


@contextlib.asynccontextmanager
async def start_pair(fleet):
    async with fleet.build("a") as first, fleet.build("b") as second:
        fleet.add("a", first.address)
        fleet.add("b", second.address)
        yield first, second


async def ask(links, proxy, text="x", timeout_s=5.0):
    return await links.ask(proxy, Echo(text), timeout_s)


async def test_links_are_dialled_when_something_is_asked_and_kept(fleet):
    async with start_pair(fleet) as (first, second):
        assert not first.links and not second.links
        assert await ask(first, "b") == Ok(Echo("b: x"))
        link = first.links["b"]
        assert await ask(second, "a") == Ok(Echo("a: x"))
        assert await ask(first, "b") == Ok(Echo("b: x"))
        assert first.links["b"] is link and len(second.opened) == 1


async def test_proxies_that_ask_each_other_at_once_end_with_one_link(fleet):
    async with start_pair(fleet) as (first, second):
        asked = [ask(links, name) for links, name in ((first, "b"), (second, "a")) * 5]
        assert all(isinstance(reply, Ok) for reply in await asyncio.gather(*asked))
        await wait_until(lambda: len(first.opened) == len(second.opened) == 1)
        assert await ask(second, "a") == Ok(Echo("a: x"))
        assert first.links["b"].is_dialler


async def test_question_that_was_not_sent_is_reported_as_such(fleet):
    async with start_pair(fleet) as (first, _):
        fleet.add("c", NOWHERE)
        for name in ("c", "c", "unknown"):
            failure = (await ask(first, name)).err_value
            assert not failure.was_sent
        assert not first.is_reachable("c") and first.is_reachable("b")


async def test_unknown_type_is_answered_and_the_link_stays(fleet, monkeypatch):
    async with start_pair(fleet) as (first, second):
        await ask(first, "b")
        link = first.links["b"]
        failure = (await first.ask("b", Unhandled(), 5.0)).err_value
        assert not failure.was_sent
        monkeypatch.delitem(MESSAGE_TYPES, 9011)
        failure = (await first.ask("b", Unhandled(), 5.0)).err_value
        assert not failure.was_sent and "9011" in failure.reason
        assert first.links["b"] is link and link.is_usable


async def test_answer_that_is_late_may_have_been_handled(fleet):
    async with start_pair(fleet) as (first, _):
        await ask(first, "b")
        fleet.can_answer.clear()
        assert (await ask(first, "b", timeout_s=0.05)).err_value.was_sent


async def test_link_that_breaks_before_the_answer_is_reported(fleet):
    async with start_pair(fleet) as (first, second):
        lost = []
        first.subscribe_loss(lost.append)
        await ask(first, "b")
        fleet.can_answer.clear()
        question = asyncio.create_task(ask(first, "b", "late"))
        await wait_until(lambda: ("a", "late") in fleet.answered)
        second.links["a"].close()
        assert (await question).err_value.was_sent
        await wait_until(lambda: lost == ["b"])
        fleet.can_answer.set()
        assert await ask(first, "b") == Ok(Echo("b: x"))


async def test_silent_link_is_found_and_replaced(fleet, monkeypatch):
    monkeypatch.setattr(proxy_link, "SILENCE_LIMIT_S", 0.1)
    monkeypatch.setattr(proxy_links, "CHECK_INTERVAL_S", 0.05)
    monkeypatch.setattr(proxy_links, "CHECK_AFTER_S", 0.05)
    async with start_pair(fleet) as (first, second):
        await ask(first, "b")
        silent = second.links["a"]
        silent.writer.transport.pause_reading()
        assert (await ask(first, "b", timeout_s=60.0)).err_value.was_sent
        assert silent not in first.opened
        assert await ask(first, "b") == Ok(Echo("b: x"))


async def test_slow_answer_on_a_working_link_is_awaited(fleet, monkeypatch):
    monkeypatch.setattr(proxy_link, "SILENCE_LIMIT_S", 0.1)
    monkeypatch.setattr(proxy_links, "CHECK_INTERVAL_S", 0.02)
    monkeypatch.setattr(proxy_links, "CHECK_AFTER_S", 0.02)
    async with start_pair(fleet) as (first, _):
        fleet.can_answer.clear()
        question = asyncio.create_task(ask(first, "b"))
        await asyncio.sleep(0.5)
        fleet.can_answer.set()
        assert await question == Ok(Echo("b: x"))


async def test_questions_in_flight_are_answered_at_shutdown(fleet):
    async with fleet.build("a") as first:
        async with fleet.build("b") as second:
            fleet.add("b", second.address)
            await ask(first, "b")
            fleet.can_answer.clear()
            question = asyncio.create_task(ask(first, "b", "last"))
            await wait_until(lambda: ("a", "last") in fleet.answered)
            asyncio.get_running_loop().call_later(0.1, fleet.can_answer.set)
        assert await question == Ok(Echo("b: last"))


@pytest.mark.parametrize(
    "frames",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xc1" * 10,
        msgpack.packb([190, 0, [1]]),
        pack_message(Echo("no hello")),
        pack_message(ProxyHello(99, "x", 1)),
        pack_message(ProxyHello(1, "x", 1)) + b"\xc1",
        pack_message(ProxyHello(1, "x", 1)) + msgpack.packb([9010, 1, [7]]),
        pack_message(ProxyHello(1, "x", 1)) + msgpack.packb("text"),
        b"\xdd\xff\xff\xff\xff" + b"a" * 5000,
    ],
)
async def test_malformed_frames_cost_one_link(fleet, frames):
    async with start_pair(fleet) as (first, second):
        assert await ask(first, "b") == Ok(Echo("b: x"))
        address = second.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(frames)
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(10.0):
                while await reader.read(1000):
                    pass
        writer.close()
        assert await ask(first, "b") == Ok(Echo("b: x"))
        assert len(second.opened) == 1


async def test_restarted_proxy_is_asked_on_a_new_link(fleet):
    async with start_pair(fleet) as (first, second):
        await ask(first, "b")
        address = second.address
        await second.stop()
        restarted = fleet.build("b")
        restarted.settings = build_settings("b").__class__(
            "b", "a", NOWHERE, NOWHERE, NOWHERE, NOWHERE, 2.0, True, address
        )
        async with restarted:
            await wait_until(lambda: not first.links)
            assert await ask(first, "b") == Ok(Echo("b: x"))


async def test_proxy_without_an_address_opens_no_links(fleet):
    links = ProxyLinks(
        RouteProxySettings("z", "a", NOWHERE, NOWHERE, NOWHERE, NOWHERE, 2.0),
        lambda: fleet.proxies,
    )
    async with start_pair(fleet), links:
        assert isinstance(await ask(links, "b"), Err)


def test_entry_round_trips_and_others_are_not_asked():
    entry = ProxyEntry("p", Address("10.0.0.1", 7440), "dc", 1.25, "0.1.0")
    value = encode_entry(entry)
    assert decode_entry("p", value) == entry
    assert decode_entry("p", msgpack.packb([*msgpack.unpackb(value), "new"])) == entry
    broken = [b"", b"\xc1", b"{}", msgpack.packb([1]), msgpack.packb({}), value[:-3]]
    for index in range(5):
        fields = msgpack.unpackb(value)
        fields[index] = None
        broken.append(msgpack.packb(fields))
    assert [decode_entry("p", each) for each in broken] == [None] * len(broken)
