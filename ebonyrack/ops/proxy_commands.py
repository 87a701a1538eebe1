"""Commands that order a proxy to do something."""

from __future__ import annotations

from dataclasses import replace

from ebonyrack.core.address import Address
from ebonyrack.core.address import parse_address
from ebonyrack.ops.client import ProxyAccess
from ebonyrack.ops.client import ProxyClient
from ebonyrack.ops.exit_status import CommandError
from ebonyrack.ops.exit_status import ExitStatus
from ebonyrack.ops.output import Output
from ebonyrack.ops.status import fetch_status
from ebonyrack.peers.link import PeerLostError
from ebonyrack.peers.message import Message
from ebonyrack.peers.operator_messages import CommandReply
from ebonyrack.peers.operator_messages import DrainRequest
from ebonyrack.peers.operator_messages import SwitchoverRequest


async def drain(access: ProxyAccess, proxy: str, output: Output) -> ExitStatus:
    """Order a proxy, by name or address, to shut down gracefully."""
    address = await find_proxy(access, proxy)
    return await send_command(
        replace(access, proxies=(address,)), DrainRequest(), output
    )


async def find_proxy(access: ProxyAccess, proxy: str) -> Address:
    """Return the peer address of a proxy named by its name or address."""
    try:
        return parse_address(proxy)
    except ValueError:
        reply = await fetch_status(access)
    for member in reply.members:
        if member.name == proxy:
            return member.address
    known = ", ".join(member.name for member in reply.members)
    raise CommandError(ExitStatus.REFUSED, f"no proxy {proxy!r}; known: {known}")


async def switch_over(
    access: ProxyAccess, group: str, to: str, output: Output
) -> ExitStatus:
    """Order a planned change of a group's primary."""
    return await send_command(access, SwitchoverRequest(group, to), output)


async def send_command(
    access: ProxyAccess, order: Message, output: Output
) -> ExitStatus:
    """Send an order and print its outcome; a lost answer leaves it unknown."""
    async with ProxyClient(access) as client:
        await client.authenticate()
        try:
            reply = await client.request(order, CommandReply)
        except PeerLostError as error:
            text = f"unknown whether it was done: {error.reason}"
            raise CommandError(ExitStatus.UNKNOWN, text) from error
    report = {"succeeded": reply.succeeded, "text": reply.text}
    output.show(report, reply.text)
    return ExitStatus.OK if reply.succeeded else ExitStatus.REFUSED
