import asyncio
import contextlib
import secrets
from dataclasses import replace

import msgpack
import pytest

from ebonyrack.core.address import Address
from ebonyrack.core.settings import parse_settings
from ebonyrack.peers import dialler
from ebonyrack.peers.codec import pack_message
from ebonyrack.peers.handshake import build_hello
from ebonyrack.peers.hub import PeerHub
from ebonyrack.peers.link import dial
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.membership import Membership
from ebonyrack.peers.primary_messages import AskPrimary
from ebonyrack.peers.primary_messages import PrimaryOpinion
from ebonyrack.peers.primary_messages import PrimarySeen
from ebonyrack.peers.request_link import PeerLostError

# A fresh secret for each run: another test process may reuse the port of a proxy, and
# its proxies must not be admitted.
SECRET = secrets.token_hex(8)
TEXT = """
[proxy]
name = {name}
data_centre = bangkok-1
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
[store]
address = 127.0.0.1:1
[peers]
seeds = {seeds}
secret = {secret}
heartbeat_interval_s = 0.05
suspect_after_s = 0.4
dead_after_s = 0.8
"""


def build_settings(name, seeds=(), secret=SECRET):
    text = TEXT.format(name=name, seeds=" ".join(map(str, seeds)), secret=secret)
    settings, errors = parse_settings(text, name)
    assert errors == ()
    return settings


@contextlib.asynccontextmanager
async def start_hubs(count, prefix="proxy"):
    async with contextlib.AsyncExitStack() as stack:
        hubs = []
        for number in range(count):
            seeds = [hub.address for hub in hubs[:2]]
            hub = PeerHub(build_settings(f"{prefix}-{number}", seeds))
            hubs.append(await stack.enter_async_context(hub))
        yield hubs


async def wait_until(condition, limit_s=20.0):
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


def live_names(hub):
    return [member.name for member in hub.membership.live_members()]


def all_live(hubs):
    names = sorted(hub.membership.local.name for hub in hubs)
    return all(live_names(hub) == names for hub in hubs)


@pytest.mark.parametrize("count", [2, 5, 12])
async def test_members_discover_each_other(count):
    async with start_hubs(count) as hubs:
        await wait_until(lambda: all_live(hubs))
        await wait_until(lambda: len({hub.membership.digest for hub in hubs}) == 1)


def test_hashes_of_similar_names_do_not_cancel_out():
    membership = Membership(build_settings("proxy-9").proxy, Address("127.0.0.1", 1))
    initial_digest = membership.digest
    for number in range(4):
        other = replace(membership.local, name=f"proxy-{number}", incarnation=7)
        assert membership.merge(other)
    assert membership.digest != initial_digest


async def test_suspicion_time_grows_with_local_lateness():
    async with start_hubs(2) as hubs:
        await wait_until(lambda: all_live(hubs))
        failure_detector = hubs[0].failure_detector
        entry = hubs[0].membership.entries["proxy-1"]
        usual_s = failure_detector.compute_suspect_after_s(entry)
        failure_detector.record_lateness(2.0)
        assert failure_detector.compute_suspect_after_s(entry) >= usual_s + 2.0
        for _ in range(100):
            failure_detector.record_lateness(0.0)
        assert failure_detector.compute_suspect_after_s(entry) == pytest.approx(usual_s)


async def test_live_count_follows_the_members():
    async with start_hubs(3) as hubs:
        await wait_until(lambda: all_live(hubs))
        membership = hubs[0].membership
        for change in (membership.mark_suspect, membership.declare_dead):
            change("proxy-1")
            assert membership.live_count == len(membership.live_members())
        membership.merge(
            replace(
                membership.find("proxy-1"),
                state=MemberState.ALIVE,
                incarnation=membership.find("proxy-1").incarnation + 1,
            )
        )
        assert membership.live_count == len(membership.live_members()) == 3
        membership.mark_leaving()
        assert membership.live_count == len(membership.live_members()) == 2


async def test_lost_updates_are_recovered_by_sync():
    async with start_hubs(12) as hubs:
        await wait_until(lambda: all_live(hubs))
        await wait_until(lambda: hubs[0].heartbeat.synced_at_s > 0)
        remove_member(hubs[0], "proxy-5")
        await wait_until(lambda: all_live(hubs))


def remove_member(hub, name):
    hub.membership.machine.remove_model(hub.membership.entries.pop(name))
    hub.membership.live_count -= 1
    hub.membership.cached_digest = None
    hub.membership.cached_live = None


async def test_dead_member_is_detected_and_a_new_incarnation_joins():
    async with start_hubs(3) as hubs:
        await wait_until(lambda: all_live(hubs))
        async with PeerHub(build_settings("late", [hubs[0].address])) as late:
            await wait_until(lambda: all_live([*hubs, late]))
        await wait_until(lambda: all_live(hubs))
        assert hubs[1].membership.find("late").state is MemberState.DEAD
        restarted = PeerHub(build_settings("late", [hubs[0].address]))
        restarted.membership.local = replace(restarted.membership.local, incarnation=1)
        async with restarted:
            await wait_until(lambda: all_live([*hubs, restarted]))


async def test_leaving_member_is_not_counted():
    async with start_hubs(3) as hubs:
        await wait_until(lambda: all_live(hubs))
        await hubs[2].announce_leaving()
        await wait_until(
            lambda: all(live_names(hub) == ["proxy-0", "proxy-1"] for hub in hubs)
        )


async def test_false_suspicion_is_refuted():
    async with start_hubs(3) as hubs:
        await wait_until(lambda: all_live(hubs))
        first = hubs[1].membership.local.incarnation
        hubs[0].membership.declare_dead("proxy-1")
        await wait_until(lambda: hubs[1].membership.local.incarnation > first)
        await wait_until(lambda: all_live(hubs))


async def test_no_member_is_declared_dead_for_one_broken_link():
    async with start_hubs(3) as hubs:
        await wait_until(lambda: all_live(hubs))
        seen = []
        hubs[2].membership.subscribe(lambda member: seen.append(member.state))
        for hub, other in ((hubs[0], "proxy-1"), (hubs[1], "proxy-0")):
            hub.dial_peer = fail_to_dial
            hub.links[other].close()
        entry = hubs[0].membership.entries["proxy-1"]
        entry.last_contact_at_s -= 10
        hubs[0].failure_detector.check_members()
        await wait_until(lambda: not hubs[0].failure_detector.checks)
        assert MemberState.DEAD not in seen
        assert all_live(hubs)


async def test_no_member_is_declared_dead_for_one_way_loss():
    async with start_hubs(3) as hubs:
        await wait_until(lambda: all_live(hubs))
        silent, receiver = hubs[0], hubs[1]
        send = silent.heartbeat.send_heartbeat
        silent.heartbeat.send_heartbeat = lambda name: (
            None if name == "proxy-1" else send(name)
        )
        probed = []
        probe_indirectly = receiver.failure_detector.probe_indirectly

        async def probe_and_record(name):
            probed.append(name)
            return await probe_indirectly(name)

        receiver.failure_detector.probe_indirectly = probe_and_record
        states = []
        receiver.membership.subscribe(lambda member: states.append(member.state))
        await wait_until(lambda: len(probed) >= 3)
        assert set(probed) == {"proxy-0"}
        assert MemberState.DEAD not in states
        assert all_live(hubs)


async def test_no_member_is_declared_dead_when_unneeded_links_are_closed(monkeypatch):
    monkeypatch.setattr(dialler, "UNNEEDED_AFTER_S", 0.0)
    async with start_hubs(14) as hubs:
        await wait_until(lambda: all_live(hubs))
        states = []
        for hub in hubs:
            hub.membership.subscribe(lambda member: states.append(member.state))
        await wait_until(lambda: all(map(has_needed_links_only, hubs)))
        assert MemberState.DEAD not in states
        assert all_live(hubs)


def has_needed_links_only(hub):
    needed = {member.name for member in hub.dialler.choose_neighbours()}
    dialled = {name for name, link in hub.links.items() if link.is_dialler}
    return dialled <= needed <= set(hub.links)


async def test_broken_link_starts_a_check_at_once():
    async with start_hubs(3) as hubs:
        await wait_until(lambda: all_live(hubs))
        await wait_until(lambda: all(len(hub.links) == 2 for hub in hubs))
        checked = []
        hubs[0].failure_detector.start_check = checked.append
        hubs[0].links["proxy-1"].close()
        await wait_until(lambda: checked)
        assert checked == ["proxy-1"]


async def fail_to_dial(address):
    raise PeerLostError("the link is cut")


async def test_requests_are_answered_with_and_without_a_link():
    async def answer(link, message):
        return PrimaryOpinion(True, message.term, message.primary_name)

    async with start_hubs(2) as hubs:
        hubs[1].register_handler(AskPrimary, answer)
        await wait_until(lambda: all_live(hubs))
        request = AskPrimary("scheduling-a", "up-1", 7)
        reply = await hubs[0].request("proxy-1", request, 5.0)
        assert reply == PrimaryOpinion(True, 7, "up-1")
        reply = await hubs[0].request_by_address(hubs[1].address, request, 5.0)
        assert reply.reachable
        with pytest.raises(PeerLostError):
            await hubs[1].request("proxy-0", request, 5.0)
        with pytest.raises(PeerLostError):
            await hubs[1].request("nobody", request, 5.0)


@pytest.mark.parametrize("count", [3, 14])
async def test_broadcast_reaches_all_once(count):
    async with start_hubs(count) as hubs:
        received = {hub.membership.local.name: [] for hub in hubs}
        for hub in hubs:

            async def record_message(link, message, name=hub.membership.local.name):
                received[name].append(message)

            hub.register_handler(PrimarySeen, record_message)
        await wait_until(lambda: all_live(hubs))
        await wait_until(lambda: count > 8 or all(len(h.links) == 2 for h in hubs))
        hubs[0].broadcast(PrimarySeen("scheduling-a", 3, "up-2"))
        await wait_until(lambda: sum(map(len, received.values())) == count - 1)
        assert received.pop("proxy-0") == []
        assert all(len(messages) == 1 for messages in received.values())


async def test_wrong_secret_and_other_version_are_rejected():
    async with start_hubs(1) as (hub,):
        local = replace(hub.membership.local, name="stranger")
        link = await dial(hub.address, build_hello(local, "proxy"), "wrong-secret")
        with pytest.raises(PeerLostError):
            async with link:
                pass
        hello = replace(build_hello(local, "proxy"), version=99)
        link = await dial(hub.address, hello, SECRET)
        with pytest.raises(PeerLostError):
            async with link:
                pass
        await wait_until(lambda: hub.accepted_count == 0)
        assert hub.membership.find("stranger") is None


@pytest.mark.parametrize(
    "data",
    [
        b"\xc1" * 10,
        b"GET / HTTP/1.1\r\n\r\n",
        msgpack.packb([1, 0, ["x"]]),
        msgpack.packb([1, 0, [b"x" * 100_000]]),
        msgpack.packb({"a": 1}),
        msgpack.packb([[[[]]]])[:-1],
        b"\x91" * 5000,
        b"",
    ],
)
async def test_garbage_ends_the_link_and_leaves_no_task(data):
    async with start_hubs(1) as (hub,):
        reader, writer = await asyncio.open_connection(*address_pair(hub.address))
        writer.write(data)
        writer.write_eof()
        await read_until_closed(reader)
        await wait_until(lambda: hub.accepted_count == 0 and not hub.tasks)
        writer.close()


async def test_oversized_frame_after_the_handshake_ends_the_link():
    async with start_hubs(2) as hubs:
        await wait_until(lambda: all_live(hubs))
        link = hubs[0].links["proxy-1"]
        link.writer.write(b"\xc6\x10\x00\x00\x00" + b"x" * 3_000_000)
        async with asyncio.timeout(10):
            await link.is_closed.wait()
        await wait_until(lambda: "proxy-1" in hubs[0].links)


async def test_a_large_message_right_after_the_proof_is_read():
    received = []

    async def record_message(link, message):
        received.append(message)

    async with start_hubs(1) as (hub,):
        hub.register_handler(PrimarySeen, record_message)
        local = replace(hub.membership.local, name="tool")
        link = await dial(hub.address, build_hello(local, "operator"), SECRET)
        async with link:
            link.send(PrimarySeen("x" * 200_000, 1, "up-1"))
            await wait_until(lambda: received)


async def test_a_peer_that_reads_nothing_loses_its_link():
    async with start_hubs(1) as (hub,):
        local = replace(hub.membership.local, name="frozen")
        link = await dial(hub.address, build_hello(local, "proxy"), SECRET)
        async with link:
            await wait_until(lambda: "frozen" in hub.links)
            link.reader._transport.pause_reading()
            for _ in range(200):
                hub.send_to_peer("frozen", PrimarySeen("x" * 100_000, 1, "up-1"))
            await wait_until(lambda: "frozen" not in hub.links)


def address_pair(address: Address):
    return address.host, address.port


async def read_until_closed(reader):
    async with asyncio.timeout(10):
        with contextlib.suppress(ConnectionError):
            while await reader.read(4096):
                pass


def test_heartbeat_is_packed_small():
    from ebonyrack.peers.member_messages import Heartbeat

    assert len(pack_message(Heartbeat(1_764_798_000_000, 500, 2**32 - 1, 200))) < 32
