"""Commands that drain a proxy or switch a group's primary over."""

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
from ebonyrack.peers.message import Message
from ebonyrack.peers.operator_messages import CommandReply
from ebonyrack.peers.operator_messages import DrainRequest
from ebonyrack.peers.operator_messages import SwitchoverRequest
from ebonyrack.peers.request_link import PeerLostError


async def drain(access: ProxyAccess, proxy: str, output: Output) -> ExitStatus:
    """Shut down a proxy, given by name or address, gracefully."""
    address = await find_proxy(access, proxy)
    return await send_command(
        replace(access, proxies=(address,)), DrainRequest(), output
    )


async def find_proxy(access: ProxyAccess, proxy: str) -> Address:
    """Return the peer address of a proxy given by name or address."""
    try:
        return parse_address(proxy)
    except ValueError:
        reply = await fetch_status(access)
    for member in reply.members:
        if member.name == proxy:
            return member.address
    known = ", ".join(member.name for member in reply.members)
    raise CommandError(ExitStatus.REFUSED, f"unknown proxy {proxy!r}; known: {known}")


async def switch_over(
    access: ProxyAccess, group: str, new_primary: str, output: Output
) -> ExitStatus:
    """Switch a group's primary over to a replica; any if `new_primary` is empty."""
    return await send_command(access, SwitchoverRequest(group, new_primary), output)


async def send_command(
    access: ProxyAccess, command: Message, output: Output
) -> ExitStatus:
    """Send a command and print its outcome.

    Raises:
        CommandError: If the reply is lost, so that the outcome is unknown.
    """
    async with ProxyClient(access) as client:
        await client.authenticate()
        try:
            reply = await client.request(command, CommandReply)
        except PeerLostError as error:
            text = f"outcome unknown: {error.reason}"
            raise CommandError(ExitStatus.UNKNOWN, text) from error
    report = {"succeeded": reply.succeeded, "text": reply.text}
    output.print_result(report, reply.text)
    return ExitStatus.OK if reply.succeeded else ExitStatus.REFUSED
