"""Parses calls of the platform's HTTP interface and builds their responses."""

from __future__ import annotations

import base64
import re
from dataclasses import dataclass

from aiohttp import web

from ebonyrack.standins.key_value import KeyValueEntry
from ebonyrack.standins.key_value import Node

DEFAULT_WAIT_S = 300.0
MAXIMUM_WAIT_S = 600.0
DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s|m|h)?$")
UNIT_S = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, None: 1.0}


@dataclass(slots=True)
class BlockingQuery:
    """A query that waits until an index is passed."""

    index: int
    wait_s: float


def classify_call(request: web.Request) -> str:
    """Return the kind under which a call is counted."""
    if request.method == "GET":
        is_watch = request.query.get("index", "0") != "0"
        kind = "nodes" if request.path.startswith("/v1/catalog") else "get"
        return f"watch_{kind}" if is_watch else kind
    if request.path.startswith("/v1/session/"):
        return "session_" + request.path.split("/")[3]
    for name in ("acquire", "release", "cas"):
        if name in request.query:
            return name
    return request.method.lower()


def parse_blocking_query(request: web.Request) -> BlockingQuery:
    """Parse the index and the wait time of a blocking query."""
    index = int(request.query.get("index", "0"))
    wait = request.query.get("wait")
    wait_s = parse_duration(wait) if wait else DEFAULT_WAIT_S
    return BlockingQuery(index, min(wait_s, MAXIMUM_WAIT_S))


def parse_duration(text: str) -> float:
    """Parse a duration such as `10s`, in seconds.

    Raises:
        ValueError: If the text is not a duration.
    """
    match = DURATION.match(text.strip())
    if match is None:
        raise ValueError(f"not a duration: {text!r}")
    return float(match.group(1)) * UNIT_S[match.group(2)]


def describe_entry(key: str, entry: KeyValueEntry) -> dict[str, object]:
    """Build the JSON form of a key."""
    fields: dict[str, object] = {
        "Key": key,
        "Value": base64.b64encode(entry.value).decode(),
        "CreateIndex": entry.create_index,
        "ModifyIndex": entry.modify_index,
        "LockIndex": entry.lock_index,
        "Flags": entry.flags,
    }
    if entry.session:
        fields["Session"] = entry.session
    return fields


def describe_node(node: Node) -> dict[str, object]:
    """Build the JSON form of a VM."""
    return {
        "Node": node.name,
        "Address": node.address,
        "Datacenter": node.data_centre,
        "Meta": {"state": node.state},
    }


def build_bool_response(value: bool) -> web.Response:
    """Build the response `true` or `false`."""
    return web.Response(
        text="true" if value else "false", content_type="application/json"
    )


def abort_connection(request: web.Request) -> web.Response:
    """Abort a call's connection instead of replying."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
