"""Decodes the operators' configuration from the platform's store."""

from __future__ import annotations

from typing import Any

from result import Err
from result import Ok
from result import Result

from ebonyrack.core.decoding import DECODING_ERRORS
from ebonyrack.core.decoding import parse_json
from ebonyrack.core.decoding import raise_defects
from ebonyrack.core.decoding import read_integer
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
LARGEST_COUNT = 10**9
# About thirty years, in milliseconds.
LONGEST_DURATION_MS = 10**12
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

    Raises:
        ProgramDefectError: If the program is at fault, not the configuration.
    """
    try:
        body: Any = parse_json(value)
        requires_accounts = ACCOUNTS in body
        routes = [decode_route(each, requires_accounts) for each in body["routes"]]
        groups = [decode_limits(service) for service in body["services"]]
        accounts, account_names = decode_accounts(body.get(ACCOUNTS, []))
        version = read_integer(body["version"])
        limits = body["limits"]
        transaction_idle_s = read_duration(limits["txIdleMs"])
        message_timeout_s = read_duration(limits["headerTimeoutMs"])
        with raise_defects():
            table = RouteTable(
                version=version,
                routes={route.database: route for route in routes},
                groups={group.name: group for group in groups},
                accounts=accounts,
                account_names=account_names,
                requires_accounts=requires_accounts,
                transaction_idle_s=transaction_idle_s,
                message_timeout_s=message_timeout_s,
            )
        return Ok(table)
    except (InvalidDocumentError, LookupError, TypeError, AttributeError) as error:
        return Err(f"invalid configuration: {error!r:.200}")
    except DECODING_ERRORS as error:
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
    # The field is called host but contains the name of the database.
    database = read_name(route["host"]).encode()
    group = read_name(route["service"])
    consistency = CONSISTENCIES[route["kind"]]
    # This limits one statement; the target latency is for the whole operation.
    statement_timeout_s = read_duration(route["timeoutMs"])
    target_latency_s = read_duration(route["targetLatencyMs"])
    priority = read_integer(route["priority"])
    maximum_age_s = read_duration(route.get("maxStalenessMs", 0))
    with raise_defects():
        return Route(
            database=database,
            group=group,
            consistency=consistency,
            statement_timeout_s=statement_timeout_s,
            target_latency_s=target_latency_s,
            priority=priority,
            maximum_age_s=maximum_age_s,
            allows_anonymous=allows_anonymous,
        )


def decode_limits(service: dict[str, Any]) -> GroupLimits:
    """Decode the limits of one group.

    Raises:
        ValueError, LookupError, TypeError: If it is malformed.
    """
    name = read_name(service["name"])
    maximum_connections = read_count(service["maxConnections"])
    acknowledging_replicas = read_count(service.get("syncReplicas", 0))
    with raise_defects():
        return GroupLimits(
            name=name,
            maximum_connections=maximum_connections,
            acknowledging_replicas=acknowledging_replicas,
        )


def read_name(value: object) -> str:
    """Return the name of a database or a group.

    Raises:
        InvalidDocumentError: If it is no text.
    """
    if not isinstance(value, str):
        raise InvalidDocumentError("a name must be a string")
    return value


def read_count(value: object) -> int:
    """Return a number of connections or upstreams.

    Raises:
        ValueError: If it is no whole number from 0, or too large.
    """
    return read_integer(value, highest=LARGEST_COUNT)


def read_duration(value: object) -> float:
    """Return a duration in milliseconds as seconds.

    Raises:
        InvalidDocumentError: If it is no number from 0, or too large.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidDocumentError("a duration must be a number")
    if not 0 <= value <= LONGEST_DURATION_MS:
        raise InvalidDocumentError("a duration is out of range")
    return value / MS_PER_S
