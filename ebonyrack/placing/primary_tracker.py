"""Which upstream of a group is taken for the primary."""

from __future__ import annotations


class PrimaryTracker:
    """Weighs what upstreams report against what their answers prove.

    A report of leading counts from the change of an upstream's own view; later
    heartbeats that repeat it prove nothing new. An answer to a write or to a plain
    transaction does prove it.

    Attributes:
        claims: Upstreams that report to lead, with the store's revision of the
            report that first said so.
        denied: Upstreams that have refused as replicas since their claim.
        confirmed: Upstream whose answers have proved that it leads, or None.
        confirmed_term: Term in which it did.
    """

    __slots__ = ("claims", "denied", "confirmed", "confirmed_term")

    def __init__(self) -> None:
        self.claims: dict[str, int] = {}
        self.denied: set[str] = set()
        self.confirmed: str | None = None
        self.confirmed_term = 0

    @property
    def primary_id(self) -> str | None:
        """Identity of the upstream that is taken for the primary, or None."""
        if self.confirmed is not None:
            return self.confirmed
        claims = {
            member_id: revision
            for member_id, revision in self.claims.items()
            if member_id not in self.denied
        }
        return max(claims, key=claims.__getitem__) if claims else None

    def report(self, member_id: str, is_primary: bool, revision: int) -> None:
        """Take what an upstream reports of itself.

        Args:
            member_id: The upstream.
            is_primary: Whether it sees itself as the primary.
            revision: Revision of the store at which it said so.
        """
        if not is_primary:
            self.claims.pop(member_id, None)
            return
        if member_id in self.claims:
            return
        self.claims[member_id] = revision
        self.denied.discard(member_id)
        if self.confirmed != member_id:
            self.confirmed = None

    def confirm(self, member_id: str, term: int) -> None:
        """Take an answer that only the primary gives.

        Args:
            member_id: The upstream that gave it.
            term: Term of its log then; an older one than known proves nothing of now.
        """
        if term < self.confirmed_term:
            return
        self.confirmed = member_id
        self.confirmed_term = term
        self.denied.discard(member_id)

    def deny(self, member_id: str) -> None:
        """Take a refusal that only a replica gives."""
        self.denied.add(member_id)
        if self.confirmed == member_id:
            self.confirmed = None

    def forget(self, member_id: str) -> None:
        """Drop an upstream that is gone."""
        self.claims.pop(member_id, None)
        self.denied.discard(member_id)
        if self.confirmed == member_id:
            self.confirmed = None
