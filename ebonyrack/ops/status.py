"""Commands that print the state of proxies, groups and sessions."""

from __future__ import annotations

from typing import Any

from ebonyrack.ops.client import ProxyAccess
from ebonyrack.ops.client import query_proxy
from ebonyrack.ops.exit_status import CommandError
from ebonyrack.ops.exit_status import ExitStatus
from ebonyrack.ops.output import Output
from ebonyrack.ops.tables import format_table
from ebonyrack.peers.member import Member
from ebonyrack.peers.operator_messages import StatusReply
from ebonyrack.peers.operator_messages import StatusRequest

GROUP_TITLES = (
    "GROUP",
    "TERM",
    "PRIMARY",
    "COORDINATOR",
    "SHARE",
    "WAITING FOR PRIMARY",
)
UPSTREAM_FIELDS = (
    "role",
    "state",
    "received",
    "applied",
    "busy",
    "open",
    "waiting",
    "limit",
)


async def fetch_status(
    access: ProxyAccess, include_sessions: bool = False
) -> StatusReply:
    """Request the state of a proxy."""
    return await query_proxy(access, StatusRequest(include_sessions), StatusReply)


async def show_status(access: ProxyAccess, output: Output) -> ExitStatus:
    """Print the proxies that a proxy knows and a summary of its groups."""
    reply = await fetch_status(access)
    report = {
        "proxy": reply.proxy,
        "revision": reply.revision,
        "is_cut_off": reply.is_cut_off,
        "members": [describe_member(member) for member in reply.members],
        "groups": reply.groups,
    }
    heading = f"proxy {reply.proxy}, revision {reply.revision}"
    if reply.is_cut_off:
        heading += ", CUT OFF: accepts no new work"
    members = format_table(
        ["PROXY", "STATE", "ADDRESS", "DATA CENTRE", "REGION", "INCARNATION"],
        [list(describe_member(member).values()) for member in reply.members],
    )
    groups = format_groups(reply.groups)
    output.print_result(report, f"{heading}\n\n{members}\n\n{groups}")
    return ExitStatus.OK


def describe_member(member: Member) -> dict[str, Any]:
    """Return the printed fields of a member."""
    return {
        "name": member.name,
        "state": member.state.name.lower(),
        "address": str(member.address),
        "data_centre": member.data_centre,
        "region": member.region,
        "incarnation": member.incarnation,
    }


def format_groups(groups: dict[str, dict[str, Any]]) -> str:
    """Format the groups as a table, one per row."""
    return format_table(
        GROUP_TITLES,
        [describe_group(name, group) for name, group in sorted(groups.items())],
    )


def describe_group(name: str, group: dict[str, Any]) -> list[Any]:
    """Return the cells of a group's table row."""
    return [
        name,
        group.get("term", ""),
        group.get("primary", ""),
        "yes" if group.get("is_coordinator") else "no",
        group.get("connection_share", ""),
        group.get("waiting_for_primary", ""),
    ]


async def show_groups(
    access: ProxyAccess, group_name: str, output: Output
) -> ExitStatus:
    """Print the upstreams of one group, or of all if the name is empty."""
    reply = await fetch_status(access)
    groups = {
        name: group
        for name, group in sorted(reply.groups.items())
        if group_name in ("", name)
    }
    if group_name and not groups:
        raise CommandError(ExitStatus.REFUSED, f"there is no group {group_name!r}")
    rows = [
        [name, upstream_name, *(upstream.get(field, "") for field in UPSTREAM_FIELDS)]
        for name, group in groups.items()
        for upstream_name, upstream in sorted(group.get("upstreams", {}).items())
    ]
    titles = ["GROUP", "UPSTREAM", *(field.upper() for field in UPSTREAM_FIELDS)]
    output.print_result(groups, format_table(titles, rows))
    return ExitStatus.OK


async def show_sessions(access: ProxyAccess, output: Output) -> ExitStatus:
    """Print the callers' sessions of one proxy."""
    reply = await fetch_status(access, include_sessions=True)
    titles = list(dict.fromkeys(key for session in reply.sessions for key in session))
    rows = [[session.get(key, "") for key in titles] for session in reply.sessions]
    table = format_table([title.upper() for title in titles], rows)
    output.print_result(reply.sessions, f"proxy {reply.proxy}\n\n{table}")
    return ExitStatus.OK
