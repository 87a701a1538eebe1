"""Drives the stand-ins and the operators' document during an experiment."""

from __future__ import annotations

import asyncio
import configparser
import io
from typing import Any

import aiohttp
from result import Err

from ebonyrack.config.document import parse_document
from ebonyrack.config.stored import DOCUMENT_KEY
from ebonyrack.config.stored import StoredDocument
from ebonyrack.config.stored import pack_stored
from ebonyrack.config.stored import unpack_stored
from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.component import Component
from ebonyrack.core.position import parse_position
from ebonyrack.core.settings import StoreSettings
from ebonyrack.store.consul_store import ConsulStore

POLL_INTERVAL_S = 0.05
WHOLE_LIMIT_S = 30.0
SPREAD_WAIT_S = 2.0
PRIMARY_ROLE = "primary"

GroupStatus = dict[str, dict[str, Any]]


class ClusterError(Exception):
    """The stand-ins could not be brought into the state that was asked for."""


def set_group_keys(text: str, group: str, keys: dict[str, str]) -> str:
    """Return a document with some keys of a group changed.

    Args:
        text: The INI text.
        group: Name of the group.
        keys: Key to new value.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    parser[f"group {group}"].update(keys)
    written = io.StringIO()
    parser.write(written)
    return written.getvalue()


class Cluster(Component):
    """The stand-in group, the platform and the document: an async context manager.

    Attributes:
        control: Address of the group's fault control.
        store: Address of the platform.
        text: Text of the document as it was first.
        group: Name of the group.
    """

    __slots__ = ("control", "store", "text", "group", "session")

    def __init__(
        self, control: Address, store: Address, text: str, group: str = "booking"
    ) -> None:
        self.control = control
        self.store = store
        self.text = text
        self.group = group
        self.session: aiohttp.ClientSession

    async def start(self) -> None:
        """Open the HTTP session."""
        self.session = aiohttp.ClientSession()

    async def stop(self) -> None:
        """Close the HTTP session."""
        await self.session.close()

    async def put(self, url: str, body: Any) -> None:
        """Send an order to a stand-in.

        Raises:
            ClusterError: If it is refused.
        """
        async with self.session.put(url, json=body) as answer:
            if answer.status != 200:
                raise ClusterError(f"{url}: {await answer.text()}")

    async def inject(self, kind: str, **body: Any) -> None:
        """Inject a fault into the group."""
        await self.put(f"http://{self.control}/fault/{kind}", body)

    async def set_platform(self, **faults: Any) -> None:
        """Set faults of the platform."""
        await self.put(f"http://{self.store}/standin/faults", faults)

    async def set_vms(self, *leaving: str) -> None:
        """Set the platform's VM list: the upstreams, some of them leaving."""
        vms = [
            {
                "name": name,
                "address": "127.0.0.1",
                "data_centre": "",
                "state": "leaving" if name in leaving else "live",
            }
            for name in await self.read_status()
        ]
        await self.put(f"http://{self.store}/standin/nodes", vms)

    async def read_status(self) -> GroupStatus:
        """Return the status of each upstream."""
        async with self.session.get(f"http://{self.control}/status") as answer:
            status: GroupStatus = await answer.json()
            return status

    async def find_primary(self) -> str:
        """Return the name of the running primary of the highest term.

        Raises:
            ClusterError: If there is none.
        """
        status = await self.read_status()
        found = [
            (item["term"], name)
            for name, item in status.items()
            if item["role"] == PRIMARY_ROLE and item["is_running"]
        ]
        if not found:
            raise ClusterError("no upstream is primary")
        return max(found)[1]

    async def wait_whole(self) -> None:
        """Wait until every upstream follows one primary and holds its log.

        Raises:
            ClusterError: If that doesn't come to pass within the limit.
        """
        deadline_s = now_s() + WHOLE_LIMIT_S
        while not is_whole(await self.read_status()):
            if now_s() > deadline_s:
                raise ClusterError(f"not whole: {await self.read_status()}")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def change_group(self, **keys: object) -> None:
        """Change keys of the group in the document and wait for its spread.

        The change is made from the document as it was first, so that keys of
        earlier changes are back at their values.

        Raises:
            ClusterError: If it is not accepted.
        """
        texts = {name: str(value) for name, value in keys.items()}
        text = set_group_keys(self.text, self.group, texts)
        settings = StoreSettings.model_validate({"address": self.store})
        async with ConsulStore(settings) as store:
            read = await store.get(DOCUMENT_KEY)
            if isinstance(read, Err) or read.ok_value is None:
                raise ClusterError(f"no document: {read}")
            stored = unpack_stored(read.ok_value.value)
            revision = stored.revision + 1
            document, faults = parse_document(text, revision)
            if document is None:
                raise ClusterError("\n".join(str(fault) for fault in faults))
            data = pack_stored(StoredDocument(revision, text, stored.history))
            done = await store.compare_and_swap(DOCUMENT_KEY, data, read.ok_value.index)
        if isinstance(done, Err) or not done.ok_value:
            raise ClusterError(f"not accepted: {done}")
        await asyncio.sleep(SPREAD_WAIT_S)


def is_whole(status: GroupStatus) -> bool:
    """Return whether all upstreams run in one term and hold the same log."""
    items = list(status.values())
    primaries = [item for item in items if item["role"] == PRIMARY_ROLE]
    if len(primaries) != 1 or not all(item["is_running"] for item in items):
        return False
    primary = primaries[0]
    if primary["fenced_term"] != primary["term"]:
        return False
    end = parse_position(primary["received"])
    for item in items:
        received = parse_position(item["received"])
        if item["term"] != primary["term"] or received.term != end.term:
            return False
    return True
