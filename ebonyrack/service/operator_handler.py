"""Handling of operators' status requests and commands."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from ebonyrack.config.ownership import ADMINISTRATORS
from ebonyrack.core.clock import now_s
from ebonyrack.peers.operator_messages import CommandReply
from ebonyrack.peers.operator_messages import DrainRequest
from ebonyrack.peers.operator_messages import StatusReply
from ebonyrack.peers.operator_messages import StatusRequest
from ebonyrack.peers.operator_messages import SwitchoverRequest

if TYPE_CHECKING:
    from ebonyrack.callers.session import CallerSession
    from ebonyrack.peers.link import PeerLink
    from ebonyrack.service.proxy import Proxy
    from ebonyrack.upstreams.group import DatabaseGroup
    from ebonyrack.upstreams.upstream import Upstream


class OperatorHandler:
    """Handles operators' messages to one proxy.

    Attributes:
        proxy: The proxy.
    """

    __slots__ = ("proxy",)

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        proxy.hub.register_handler(StatusRequest, self.answer_status)
        proxy.hub.register_handler(DrainRequest, self.start_drain)
        proxy.hub.register_handler(SwitchoverRequest, self.switch_over)

    async def answer_status(
        self, link: PeerLink, message: StatusRequest
    ) -> StatusReply:
        """Report the state of the proxy.

        Args:
            link: Link of the operator.
            message: The request.

        Returns:
            The state.
        """
        proxy = self.proxy
        return StatusReply(
            proxy=proxy.settings.proxy.name,
            revision=proxy.configuration.revision,
            is_cut_off=proxy.watch.is_cut_off,
            members=proxy.hub.membership.all_members(),
            groups={
                name: describe_group(group)
                for name, group in proxy.services.groups.items()
            },
            sessions=self.list_sessions() if message.include_sessions else [],
        )

    def find_refusal(self, link: PeerLink, owner: str) -> str:
        """Check whether an operator may give a command.

        Args:
            link: Link of the operator.
            owner: Owner of the object of the command.

        Returns:
            Why the operator may not give it, or an empty string. As long as the
            document names no operators, the shared secret suffices.
        """
        name = link.member.name
        operators = self.proxy.configuration.document.operators
        if not operators:
            return ""
        authentication = self.proxy.edits.authentication
        if name not in operators or not authentication.is_authenticated(link, name):
            return f"operator {name!r} is unknown or not authenticated"
        acts_for = operators[name].acts_for
        if owner in acts_for or ADMINISTRATORS in acts_for:
            return ""
        return f"operator {name!r} does not act for {owner!r}"

    def list_sessions(self) -> list[dict[str, Any]]:
        """Return a description of each caller's session."""
        return [
            describe_session(session)
            for session in self.proxy.listener.sessions.values()
        ]

    async def start_drain(self, link: PeerLink, message: DrainRequest) -> CommandReply:
        """Start the graceful shutdown of this proxy.

        Args:
            link: Link of the operator.
            message: The command.

        Returns:
            The outcome.
        """
        refusal = self.find_refusal(link, ADMINISTRATORS)
        if refusal:
            return CommandReply(False, refusal)
        self.proxy.drain.request(f"operator {link.member.name}")
        return CommandReply(True, "draining")

    async def switch_over(
        self, link: PeerLink, message: SwitchoverRequest
    ) -> CommandReply:
        """Move the primary of a group.

        Args:
            link: Link of the operator.
            message: The command.

        Returns:
            The outcome.
        """
        coordinator = self.proxy.group_table.coordinators.get(message.group)
        if coordinator is None:
            return CommandReply(False, f"no group {message.group!r}")
        refusal = self.find_refusal(link, coordinator.group.section.owner)
        if refusal:
            return CommandReply(False, refusal)
        outcome = await coordinator.switch_over(message.to or None)
        return CommandReply(outcome.succeeded, outcome.text)


def describe_session(session: CallerSession) -> dict[str, Any]:
    """Describe a caller's session.

    Args:
        session: The session.

    Returns:
        Field values by name, as sent in the status reply.
    """
    return {
        "number": session.number,
        "application": session.identity.application,
        "group": session.identity.group,
        "phase": session.phase.value,
        "phase_s": round(now_s() - session.phase_since_s, 3),
        "transaction": session.transaction.status,
        "upstream": session.upstream.name if session.upstream else "",
    }


def describe_group(group: DatabaseGroup) -> dict[str, Any]:
    """Describe what this proxy knows of a group.

    Args:
        group: The group.

    Returns:
        Field values by name, as sent in the status reply.
    """
    return {
        "term": group.term,
        "primary": group.primary_name or "",
        "is_coordinator": group.is_coordinator,
        "waiting_for_primary": len(group.primary_wait.queue),
        "connection_share": group.connection_limit,
        "upstreams": {
            name: describe_upstream(upstream)
            for name, upstream in group.upstreams.items()
        },
    }


def describe_upstream(upstream: Upstream) -> dict[str, Any]:
    """Describe what this proxy knows of an upstream.

    Args:
        upstream: The upstream.

    Returns:
        Field values by name, as sent in the status reply.
    """
    status = upstream.status
    return {
        "address": str(upstream.spec.address),
        "data_centre": upstream.spec.data_centre,
        "state": "regressed" if upstream.is_regressed else upstream.state,
        "role": status.role.value if status else "",
        "received": str(status.received) if status else "",
        "applied": str(status.applied) if status else "",
        "busy": upstream.pool.busy_count,
        "open": upstream.pool.open_count,
        "waiting": upstream.pool.waiting_count,
        "limit": upstream.pool.current_limit,
    }
