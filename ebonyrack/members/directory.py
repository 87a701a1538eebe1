"""Directory of the upstreams that are registered in the store."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger
from result import Err
from result import Ok
from result import Result

from ebonyrack.core.clock import boot_time_s
from ebonyrack.members.entry import MemberEntry
from ebonyrack.members.group import Group
from ebonyrack.store.leasing_store import LeasingStore
from ebonyrack.store.leasing_store import StoreChanges
from ebonyrack.store.leasing_store import StoreItem

# Entries are read at least this often, in seconds, while the store replies. A report
# that came later than that after the last reading came after an outage.
LONGEST_READING_GAP_S = 4.0

DecodeEntry = Callable[[StoreItem], Result[MemberEntry, str]]


class UpstreamDirectory:
    """Applies the entries of upstreams to their groups.

    A missing entry is kept for a while: it may have expired during an outage of the
    store. This time is measured only while the store replies.

    Attributes:
        prefix: Key prefix of the entries.
        decode: Decodes an entry.
        groups: Groups by name.
        entries: Entry by identity.
        is_loaded: Whether the store has been read once.
        applied_revision: Store revision of the newest reading that was applied.
        read_at_s: Time of that reading, on the boot clock; None before the first.
        unreadable: Revision of each entry that can't be used, by key.
    """

    __slots__ = (
        "prefix",
        "decode",
        "groups",
        "entries",
        "is_loaded",
        "applied_revision",
        "read_at_s",
        "unreadable",
    )

    def __init__(
        self, prefix: str, decode: DecodeEntry, groups: dict[str, Group]
    ) -> None:
        self.prefix = prefix
        self.decode = decode
        self.groups = groups
        self.entries: dict[str, MemberEntry] = {}
        self.is_loaded = False
        self.applied_revision = 0
        self.read_at_s: float | None = None
        self.unreadable: dict[str, int] = {}

    async def read(self, store: LeasingStore) -> None:
        """Read all entries now and apply them; a failure is logged."""
        found = await store.read_prefix(self.prefix)
        if isinstance(found, Err):
            logger.bind(reason=found.err_value.reason).info("entries_not_read")
            return
        await self.apply(found.ok_value)

    async def apply(self, changes: StoreChanges) -> None:
        """Apply changes of the store.

        Args:
            changes: Items and keys of the store, with this prefix or others.
        """
        if changes.is_complete and changes.revision < self.applied_revision:
            # Two readings overlapped, and this one began earlier.
            return
        self.applied_revision = changes.revision
        now = boot_time_s()
        unchanged_at_s, self.read_at_s = self.read_at_s, now
        if unchanged_at_s is not None:
            unchanged_at_s = max(unchanged_at_s, now - LONGEST_READING_GAP_S)
        present = set()
        for item in changes.items:
            if item.key.startswith(self.prefix):
                present.add(item.key.removeprefix(self.prefix))
                await self.apply_readable_item(item, unchanged_at_s)
        if changes.is_complete:
            self.is_loaded = True
            kept = {self.prefix + member_id for member_id in present}
            self.unreadable = {
                key: revision
                for key, revision in self.unreadable.items()
                if key in kept
            }
            missing = set(self.entries) - present
        else:
            missing = {
                key.removeprefix(self.prefix)
                for key in changes.deleted
                if key.startswith(self.prefix)
            }
        for member_id in missing:
            self.record_missing(member_id)

    async def apply_readable_item(
        self, item: StoreItem, unchanged_at_s: float | None
    ) -> None:
        """Apply one entry; one that can't be used is logged once and ignored.

        Another writer may have left anything there, and the other entries hold.

        Args:
            item: The entry.
            unchanged_at_s: Time of the reading before, which did not have it yet; None
                if this is the first reading.
        """
        if self.unreadable.get(item.key) == item.revision:
            return
        self.unreadable.pop(item.key, None)
        try:
            found = self.decode(item)
            if isinstance(found, Ok):
                await self.apply_entry(found.ok_value, unchanged_at_s)
                return
            logger.bind(key=f"{item.key:.80}", reason=found.err_value).warning(
                "upstream_entry_unreadable"
            )
        except Exception:
            logger.bind(key=f"{item.key:.80}").exception("upstream_entry_not_applied")
        self.unreadable[item.key] = item.revision

    async def apply_entry(
        self, entry: MemberEntry, unchanged_at_s: float | None
    ) -> None:
        """Apply one entry to its group, unless a newer one is known."""
        known = self.entries.get(entry.member_id)
        if known is not None and reverts_leaving(known, entry):
            logger.bind(group=entry.group, upstream=entry.member_id).info(
                "upstream_entry_outdated"
            )
            return
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
            await group.apply_entry(entry, unchanged_at_s)

    def record_missing(self, member_id: str) -> None:
        """Record that an entry is no longer in the store."""
        entry = self.entries.get(member_id)
        group = self.groups.get(entry.group) if entry is not None else None
        member = group.members.get(member_id) if group is not None else None
        if member is not None and member.entry_missing_since_s is None:
            member.entry_missing_since_s = boot_time_s()
            logger.bind(group=member.entry.group, upstream=member_id).info(
                "upstream_entry_missing"
            )

    async def add_group(self, group: Group) -> None:
        """Apply the entries that were read before a group was known."""
        for entry in list(self.entries.values()):
            if entry.group == group.name:
                await group.apply_entry(entry)

    async def remove_missing(
        self, replying_since_s: float | None, limit_s: float
    ) -> None:
        """Remove upstreams whose entries stay missing while the store replies.

        Args:
            replying_since_s: Time since which the store replies; None if it doesn't.
            limit_s: Seconds after which an upstream without an entry is removed.
        """
        now = boot_time_s()
        for group in self.groups.values():
            for member in list(group.members.values()):
                since_s = member.entry_missing_since_s
                if since_s is None:
                    continue
                if replying_since_s is None:
                    member.entry_missing_since_s = now
                    continue
                since_s = max(since_s, replying_since_s)
                if now - since_s > limit_s and member is not group.primary:
                    self.entries.pop(member.member_id, None)
                    await group.remove(member.member_id, "its entry is missing")


def reverts_leaving(known: MemberEntry, entry: MemberEntry) -> bool:
    """Whether an entry says again of a leaving upstream that it takes new work.

    An upstream that has said that it will shut down does so. Only a store that was
    restored from a copy says otherwise, until the upstream has written its entry again.
    """
    is_same_start = (known.started_at_ms, known.address) == (
        entry.started_at_ms,
        entry.address,
    )
    return known.is_leaving and not entry.is_leaving and is_same_start
