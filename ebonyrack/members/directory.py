"""Keeps the upstreams of all groups as the store names them."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger
from result import Err
from result import Result

from ebonyrack.core.clock import boot_time_s
from ebonyrack.members.entry import MemberEntry
from ebonyrack.members.group import Group
from ebonyrack.store.leasing_store import StoreChanges
from ebonyrack.store.leasing_store import StoreItem

DecodeEntry = Callable[[StoreItem], Result[MemberEntry, str]]


class UpstreamDirectory:
    """Entries of the upstreams, handed on to their groups.

    An entry that is missing is kept for a while: it may have lapsed while the store
    was away. Time counts only while the store answers.

    Attributes:
        prefix: Start of the keys of entries.
        decode: Reads an entry.
        groups: Groups by name.
        entries: Entry by identity.
        is_loaded: Whether the store has been read once.
    """

    __slots__ = ("prefix", "decode", "groups", "entries", "is_loaded")

    def __init__(
        self, prefix: str, decode: DecodeEntry, groups: dict[str, Group]
    ) -> None:
        self.prefix = prefix
        self.decode = decode
        self.groups = groups
        self.entries: dict[str, MemberEntry] = {}
        self.is_loaded = False

    async def apply(self, changes: StoreChanges) -> None:
        """Take over what the store says.

        Args:
            changes: Items and keys of the store, of this prefix or others.
        """
        present = set()
        for item in changes.items:
            if item.key.startswith(self.prefix):
                present.add(item.key.removeprefix(self.prefix))
                await self.apply_item(item)
        if changes.is_complete:
            self.is_loaded = True
            missing = set(self.entries) - present
        else:
            missing = {
                key.removeprefix(self.prefix)
                for key in changes.deleted
                if key.startswith(self.prefix)
            }
        for member_id in missing:
            self.record_missing(member_id)

    async def apply_item(self, item: StoreItem) -> None:
        """Take over one entry; one that can't be read changes nothing."""
        found = self.decode(item)
        if isinstance(found, Err):
            logger.bind(key=item.key, reason=found.err_value).warning(
                "upstream_entry_unreadable"
            )
            return
        entry = found.ok_value
        known = self.entries.get(entry.member_id)
        if known is not None and known.revision > entry.revision:
            return
        if (
            known is not None
            and known.group != entry.group
            and known.group in self.groups
        ):
            await self.groups[known.group].remove(
                entry.member_id, "it changed its group"
            )
        self.entries[entry.member_id] = entry
        group = self.groups.get(entry.group)
        if group is not None:
            await group.apply_entry(entry)

    def record_missing(self, member_id: str) -> None:
        """Note that an entry is not there any more."""
        entry = self.entries.get(member_id)
        group = self.groups.get(entry.group) if entry is not None else None
        member = group.members.get(member_id) if group is not None else None
        if member is not None and member.entry_missing_since_s is None:
            member.entry_missing_since_s = boot_time_s()
            logger.bind(group=member.entry.group, upstream=member_id).info(
                "upstream_entry_missing"
            )

    async def add_group(self, group: Group) -> None:
        """Hand a new group the entries that were read before it was known."""
        for entry in list(self.entries.values()):
            if entry.group == group.name:
                await group.apply_entry(entry)

    async def remove_missing(
        self, answering_since_s: float | None, limit_s: float
    ) -> None:
        """Forget upstreams whose entries stay away while the store answers.

        Args:
            answering_since_s: Time since which the store answers; None if it
                doesn't.
            limit_s: Seconds after which a missing upstream counts as gone.
        """
        now = boot_time_s()
        for group in self.groups.values():
            for member in list(group.members.values()):
                since_s = member.entry_missing_since_s
                if since_s is None:
                    continue
                if answering_since_s is None:
                    member.entry_missing_since_s = now
                    continue
                since_s = max(since_s, answering_since_s)
                if now - since_s > limit_s and member is not group.primary:
                    self.entries.pop(member.member_id, None)
                    await group.remove(member.member_id, "its entry stays away")
