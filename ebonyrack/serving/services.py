"""State of the proxy that all callers' sessions share."""

from __future__ import annotations

from msgspec import Struct
from msgspec import field

from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.route_settings import RouteProxySettings
from ebonyrack.limits.fleet_limiter import FleetLimiter
from ebonyrack.members.group import Group
from ebonyrack.routes.account import ClientAccount
from ebonyrack.routes.route import Route
from ebonyrack.routes.state import RouteState
from ebonyrack.service.drain import Drain
from ebonyrack.serving.account_labels import AccountLabels
from ebonyrack.serving.remote import RemoteServing


class Services(Struct):
    """Parts of the proxy that a session uses.

    Attributes:
        settings: Settings of the process.
        routes: Routes in force.
        groups: Database groups by name.
        drain: Life cycle state of the proxy.
        limiter: Keeps the limits of client accounts; None where there are none.
        remote: Serves the work of groups whose connections other proxies hold; None
            if this proxy has no links to others.
        account_labels: Labels of client accounts in metrics.
    """

    settings: RouteProxySettings
    routes: RouteState = field(default_factory=RouteState)
    groups: dict[str, Group] = field(default_factory=dict)
    drain: Drain = field(default_factory=Drain)
    limiter: FleetLimiter | None = None
    remote: RemoteServing | None = None
    account_labels: AccountLabels = field(default_factory=AccountLabels)

    def find_route(self, database: bytes) -> Route:
        """Return the route of a database.

        Args:
            database: Name that the caller gave.

        Raises:
            RequestError: UNKNOWN_GROUP if the routes in force have none.
        """
        route = self.routes.table.routes.get(database)
        if route is None:
            raise RequestError(
                ErrorKind.UNKNOWN_GROUP,
                f"no route in version {self.routes.table.version}",
            )
        return route

    def find_account(self, route: Route, key_digest: bytes) -> ClientAccount | None:
        """Return the account that a caller of a route acts for.

        Args:
            route: The route.
            key_digest: Digest of the key that the caller showed.

        Returns:
            The account, or None for an anonymous caller.

        Raises:
            RequestError: UNKNOWN_ACCOUNT if no account in force holds the key and the
                route doesn't allow anonymous callers.
        """
        table = self.routes.table
        account = table.find_account(key_digest)
        if account is None and not route.allows_anonymous:
            raise RequestError(
                ErrorKind.UNKNOWN_ACCOUNT,
                f"no account holds the key in version {table.version}",
            )
        return account

    def find_remote(self, group: Group) -> RemoteServing | None:
        """Return what serves a group's work at other proxies; None to serve it here."""
        return self.remote if group.hands_work_over else None

    def find_group(self, route: Route) -> Group:
        """Return the group that serves a route.

        Raises:
            RequestError: NO_UPSTREAM if the document has no such group.
        """
        group = self.groups.get(route.group)
        if group is None:
            raise RequestError(ErrorKind.NO_UPSTREAM, f"no group {route.group}")
        return group
