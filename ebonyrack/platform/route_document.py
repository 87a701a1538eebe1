"""Decodes the operators' configuration from the platform's store."""

from __future__ import annotations

import json
from typing import Any

from result import Err
from result import Ok
from result import Result

from ebonyrack.platform.account_entries import InvalidDocumentError
from ebonyrack.platform.account_entries import decode_accounts
from ebonyrack.routes.route import Consistency
from ebonyrack.routes.route import GroupLimits
from ebonyrack.routes.route import Route
from ebonyrack.routes.route import RouteTable

KEY = "op/config"
# Absent from the documents of deployments without client accounts.
ACCOUNTS = "tenants"
MS_PER_S = 1000.0
CONSISTENCIES = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.STATED_AGE,
    "read_your_writes": Consistency.READ_YOUR_WRITES,
}


def decode_document(value: bytes) -> Result[RouteTable, str]:
    """Decode a configuration.

    Args:
        value: The bytes in the store.

    Returns:
        The routes, or why they can't be decoded.
    """
    try:
        body: Any = json.loads(value)
        requires_accounts = ACCOUNTS in body
        routes = [decode_route(each, requires_accounts) for each in body["routes"]]
        groups = [decode_limits(service) for service in body["services"]]
        accounts, account_names = decode_accounts(body.get(ACCOUNTS, []))
        limits = body["limits"]
        return Ok(
            RouteTable(
                version=int(body["version"]),
                routes={route.database: route for route in routes},
                groups={group.name: group for group in groups},
                accounts=accounts,
                account_names=account_names,
                requires_accounts=requires_accounts,
                transaction_idle_s=limits["txIdleMs"] / MS_PER_S,
                startup_timeout_s=limits["headerTimeoutMs"] / MS_PER_S,
            )
        )
    except (InvalidDocumentError, LookupError, TypeError, AttributeError) as error:
        return Err(f"invalid configuration: {error!r}")
    except (ValueError, ArithmeticError, RecursionError) as error:
        # Their messages may quote the value, and thereby a key.
        return Err(f"invalid configuration: {type(error).__name__}")


def decode_route(route: dict[str, Any], requires_accounts: bool) -> Route:
    """Decode one route.

    Args:
        route: The route of the configuration.
        requires_accounts: Whether the configuration has client accounts.

    Raises:
        ValueError, LookupError, TypeError: If it is malformed.
    """
    allows_anonymous = route.get("allowAnonymous", not requires_accounts)
    if not isinstance(allows_anonymous, bool):
        raise InvalidDocumentError("allowAnonymous must be true or false")
    return Route(
        # The field is called host but contains the name of the database.
        database=str(route["host"]).encode(),
        group=str(route["service"]),
        consistency=CONSISTENCIES[route["kind"]],
        # This limits one statement; the target latency is for the whole operation.
        statement_timeout_s=route["timeoutMs"] / MS_PER_S,
        target_latency_s=route["targetLatencyMs"] / MS_PER_S,
        priority=int(route["priority"]),
        maximum_age_s=route.get("maxStalenessMs", 0) / MS_PER_S,
        allows_anonymous=allows_anonymous,
    )


def decode_limits(service: dict[str, Any]) -> GroupLimits:
    """Decode the limits of one group.

    Raises:
        ValueError, LookupError, TypeError: If it is malformed.
    """
    return GroupLimits(
        name=str(service["name"]),
        maximum_connections=int(service["maxConnections"]),
        acknowledging_replicas=int(service.get("syncReplicas", 0)),
    )
