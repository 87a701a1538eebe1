"""Controls the stand-ins and the operators' document during an experiment."""

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
HEALTHY_LIMIT_S = 30.0
PROPAGATION_WAIT_S = 2.0
PRIMARY_ROLE = "primary"

GroupStatus = dict[str, dict[str, Any]]


class ClusterError(Exception):
    """The stand-ins or the document could not be brought into the requested state."""


def set_group_keys(text: str, group: str, keys: dict[str, str]) -> str:
    """Return a document with some keys of a group changed.

    Args:
        text: The INI text.
        group: Name of the group.
        keys: New values by key.
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
        initial_text: Text of the document at the start of the experiment.
        group: Name of the group.
    """

    __slots__ = ("control", "store", "initial_text", "group", "session")

    def __init__(
        self, control: Address, store: Address, text: str, group: str = "booking"
    ) -> None:
        self.control = control
        self.store = store
        self.initial_text = text
        self.group = group
        self.session: aiohttp.ClientSession

    async def start(self) -> None:
        """Open the HTTP session."""
        self.session = aiohttp.ClientSession()

    async def stop(self) -> None:
        """Close the HTTP session."""
        await self.session.close()

    async def put(self, url: str, body: Any) -> None:
        """Send a PUT request to a stand-in.

        Raises:
            ClusterError: If the stand-in refuses it.
        """
        async with self.session.put(url, json=body) as response:
            if response.status != 200:
                raise ClusterError(f"{url}: {await response.text()}")

    async def inject(self, kind: str, **body: Any) -> None:
        """Send a command to the group's fault control, such as `kill` or `heal`."""
        await self.put(f"http://{self.control}/fault/{kind}", body)

    async def set_platform_faults(self, **faults: Any) -> None:
        """Set the platform's injected faults."""
        await self.put(f"http://{self.store}/standin/faults", faults)

    async def set_leaving_vms(self, *leaving: str) -> None:
        """Set the platform's VM list to the upstreams, some of them leaving."""
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
        async with self.session.get(f"http://{self.control}/status") as response:
            status: GroupStatus = await response.json()
            return status

    async def find_primary(self) -> str:
        """Return the name of the running primary with the highest term.

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

    async def wait_until_healthy(self) -> None:
        """Wait until all upstreams run and the replicas follow one primary.

        Raises:
            ClusterError: If the group is not healthy within the limit.
        """
        deadline_s = now_s() + HEALTHY_LIMIT_S
        while not is_healthy(await self.read_status()):
            if now_s() > deadline_s:
                raise ClusterError(f"group not healthy: {await self.read_status()}")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def change_group(self, **keys: object) -> None:
        """Change keys of the group in the document and wait until it has propagated.

        The change applies to the initial document, so keys changed earlier get their
        initial values again.

        Raises:
            ClusterError: If the store or the validation rejects the document.
        """
        texts = {name: str(value) for name, value in keys.items()}
        text = set_group_keys(self.initial_text, self.group, texts)
        settings = StoreSettings.model_validate({"address": self.store})
        async with ConsulStore(settings) as store:
            read = await store.get(DOCUMENT_KEY)
            if isinstance(read, Err) or read.ok_value is None:
                raise ClusterError(f"could not read the document: {read}")
            stored = unpack_stored(read.ok_value.value)
            revision = stored.revision + 1
            document, errors = parse_document(text, revision)
            if document is None:
                raise ClusterError("\n".join(str(error) for error in errors))
            data = pack_stored(StoredDocument(revision, text, stored.history))
            written = await store.compare_and_swap(
                DOCUMENT_KEY, data, read.ok_value.index
            )
        if isinstance(written, Err) or not written.ok_value:
            raise ClusterError(f"could not write the document: {written}")
        await asyncio.sleep(PROPAGATION_WAIT_S)


def is_healthy(status: GroupStatus) -> bool:
    """Return whether all upstreams run and the replicas follow the only primary.

    The primary has granted no term above its own. A replica follows it if it is in
    the primary's term and the last entry of its log is of that term.
    """
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
