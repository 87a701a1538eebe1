"""Decodes the operators' configuration from the platform's store."""

from __future__ import annotations

import json
from typing import Any

from result import Err
from result import Ok
from result import Result

from ebonyrack.routes.route import Consistency
from ebonyrack.routes.route import GroupLimits
from ebonyrack.routes.route import Route
from ebonyrack.routes.route import RouteTable

KEY = "op/config"
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
        routes = [decode_route(route) for route in body["routes"]]
        groups = [decode_limits(service) for service in body["services"]]
        limits = body["limits"]
        return Ok(
            RouteTable(
                version=int(body["version"]),
                routes={route.database: route for route in routes},
                groups={group.name: group for group in groups},
                transaction_idle_s=limits["txIdleMs"] / MS_PER_S,
                startup_timeout_s=limits["headerTimeoutMs"] / MS_PER_S,
            )
        )
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        return Err(f"invalid configuration: {error!r}")


def decode_route(route: dict[str, Any]) -> Route:
    """Decode one route.

    Raises:
        ValueError, LookupError, TypeError: If it is malformed.
    """
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
