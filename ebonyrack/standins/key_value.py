"""State of the stand-in for the platform's key-value service."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass

from ebonyrack.core.clock import now_s

MAXIMUM_VALUE_BYTES = 1024 * 1024
DELETE_BEHAVIOUR = "delete"


@dataclass(slots=True)
class KeyValueEntry:
    """One key with its value and indexes.

    Attributes:
        value: Its value.
        create_index: Index of the change that created it.
        modify_index: Index of its last change.
        lock_index: Number of times that a session acquired it.
        flags: Number that a client may set.
        session: ID of the session that holds it, or an empty string.
        previous: Entry before the last change, for stale reads.
    """

    value: bytes
    create_index: int
    modify_index: int
    lock_index: int = 0
    flags: int = 0
    session: str = ""
    previous: KeyValueEntry | None = None


@dataclass(slots=True)
class LeaseSession:
    """A session that holds keys until it is destroyed or expires.

    Attributes:
        ttl_s: Time to live in seconds, or 0 for no limit.
        behaviour: `release` or `delete`: what happens to its keys at its end.
        lock_delay_s: Seconds for which its keys can't be acquired after it expired.
        name: Name given by the client.
        expires_at_s: Monotonic time at which it expires.
    """

    ttl_s: float
    behaviour: str
    lock_delay_s: float
    name: str
    expires_at_s: float


@dataclass(slots=True)
class Node:
    """A VM in the platform's list."""

    name: str
    address: str
    data_centre: str
    state: str = "live"


class KeyValueState:
    """Keys, sessions and VM list, with an index that every change increments.

    Attributes:
        index: Index of the last change.
        entries: Existing keys.
        deleted: Index of the deletion of each deleted key.
        sessions: Sessions by ID.
        blocked_until_s: Monotonic time until which a key can't be acquired.
        nodes: VM list.
        nodes_index: Index of the last change of the VM list.
        changed: Event that is set and replaced at each change.
    """

    __slots__ = (
        "index",
        "entries",
        "deleted",
        "sessions",
        "blocked_until_s",
        "nodes",
        "nodes_index",
        "changed",
    )

    def __init__(self) -> None:
        self.index = 1
        self.entries: dict[str, KeyValueEntry] = {}
        self.deleted: dict[str, int] = {}
        self.sessions: dict[str, LeaseSession] = {}
        self.blocked_until_s: dict[str, float] = {}
        self.nodes: list[Node] = []
        self.nodes_index = 1
        self.changed = asyncio.Event()

    def advance(self) -> int:
        """Increment the index and wake every blocking query."""
        self.index += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return self.index

    def key_index(self, key: str) -> int:
        """Return the index of a key, for blocking queries."""
        entry = self.entries.get(key)
        if entry is not None:
            return entry.modify_index
        return self.deleted.get(key, 1)

    def put(self, key: str, value: bytes, cas: int | None, flags: int) -> bool:
        """Set a key if its modify index is still the given one.

        Args:
            key: The key.
            value: New value.
            cas: Expected modify index, 0 for a new key, None for any.
            flags: Number that a client may set.

        Returns:
            Whether it was set.
        """
        old = self.entries.get(key)
        if cas is not None and cas != (old.modify_index if old else 0):
            return False
        index = self.advance()
        self.entries[key] = build_next_entry(old, value, index, flags)
        return True

    def acquire(self, key: str, value: bytes, session_id: str, flags: int) -> bool:
        """Set a key and lock it for a session, unless another session holds it.

        Raises:
            KeyError: If there is no such session.
        """
        if session_id not in self.sessions:
            raise KeyError(session_id)
        old = self.entries.get(key)
        if old is not None and old.session not in ("", session_id):
            return False
        if self.blocked_until_s.get(key, 0.0) > now_s():
            return False
        index = self.advance()
        entry = build_next_entry(old, value, index, flags)
        entry.lock_index += not (old is not None and old.session == session_id)
        entry.session = session_id
        self.entries[key] = entry
        return True

    def release(self, key: str, value: bytes, session_id: str, flags: int) -> bool:
        """Set a key and unlock it if the session holds it."""
        old = self.entries.get(key)
        if old is None or old.session != session_id:
            return False
        index = self.advance()
        entry = build_next_entry(old, value, index, flags)
        entry.session = ""
        self.entries[key] = entry
        return True

    def delete(self, key: str, cas: int | None) -> bool:
        """Delete a key if its modify index is still the given one."""
        old = self.entries.get(key)
        if cas is not None and cas != (old.modify_index if old else 0):
            return False
        if old is not None:
            del self.entries[key]
            self.deleted[key] = self.advance()
        return True

    def create_session(
        self, ttl_s: float, behaviour: str, lock_delay_s: float, name: str
    ) -> str:
        """Create a session and return its ID."""
        session_id = str(uuid.uuid4())
        expires_at_s = now_s() + ttl_s if ttl_s else float("inf")
        session = LeaseSession(ttl_s, behaviour, lock_delay_s, name, expires_at_s)
        self.sessions[session_id] = session
        self.advance()
        return session_id

    def renew_session(self, session_id: str) -> LeaseSession | None:
        """Restart the time to live of a session; return it, or None if it has ended."""
        session = self.sessions.get(session_id)
        if session is not None and session.ttl_s:
            session.expires_at_s = now_s() + session.ttl_s
        return session

    def destroy_session(self, session_id: str, has_expired: bool = False) -> None:
        """End a session and release or delete its keys."""
        session = self.sessions.pop(session_id, None)
        if session is None:
            return
        self.advance()
        held_keys = [
            key for key, item in self.entries.items() if item.session == session_id
        ]
        for key in held_keys:
            if has_expired and session.lock_delay_s:
                self.blocked_until_s[key] = now_s() + session.lock_delay_s
            if session.behaviour == DELETE_BEHAVIOUR:
                self.delete(key, None)
            else:
                self.release(key, self.entries[key].value, session_id, 0)

    def expire_sessions(self) -> None:
        """End every expired session."""
        time_s = now_s()
        for session_id, session in list(self.sessions.items()):
            if session.expires_at_s <= time_s:
                self.destroy_session(session_id, has_expired=True)

    def set_nodes(self, nodes: list[Node]) -> None:
        """Replace the VM list."""
        self.nodes = nodes
        self.nodes_index = self.advance()


def build_next_entry(
    old: KeyValueEntry | None, value: bytes, index: int, flags: int
) -> KeyValueEntry:
    """Build the entry that replaces an old one when its value changes."""
    if old is None:
        return KeyValueEntry(value, index, index, flags=flags)
    old.previous = None
    return KeyValueEntry(
        value, old.create_index, index, old.lock_index, flags, old.session, old
    )
