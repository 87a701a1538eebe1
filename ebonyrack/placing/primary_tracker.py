"""Determines which upstream of a group is the primary."""

from __future__ import annotations


class PrimaryTracker:
    """Combines the roles that upstreams report with what their replies prove.

    A reported primary role counts once, when the upstream's own view changes; later
    heartbeats that repeat it are no new evidence. A reply to a write or to a
    read-write transaction proves the role.

    Attributes:
        claims: Upstreams that report being the primary, with the store revision of
            the first such report.
        denied: Upstreams that have rejected a request as replicas since their claim.
        confirmed: Upstream whose replies have proven it to be the primary, or None.
        confirmed_term: Term of that proof.
    """

    __slots__ = ("claims", "denied", "confirmed", "confirmed_term")

    def __init__(self) -> None:
        self.claims: dict[str, int] = {}
        self.denied: set[str] = set()
        self.confirmed: str | None = None
        self.confirmed_term = 0

    @property
    def primary_id(self) -> str | None:
        """Identity of the presumed primary, or None."""
        if self.confirmed is not None:
            return self.confirmed
        claims = {
            member_id: revision
            for member_id, revision in self.claims.items()
            if member_id not in self.denied
        }
        return max(claims, key=claims.__getitem__) if claims else None

    def report(self, member_id: str, is_primary: bool, revision: int) -> None:
        """Record the role that an upstream reports.

        Args:
            member_id: The upstream.
            is_primary: Whether it sees itself as the primary.
            revision: Store revision of the report.
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
        """Record a reply that only a primary gives.

        Args:
            member_id: The upstream that replied.
            term: Term of its log; a reply from an older term than the confirmed one
                is outdated and ignored.
        """
        if term < self.confirmed_term:
            return
        self.confirmed = member_id
        self.confirmed_term = term
        self.denied.discard(member_id)

    def supersede(self, term: int) -> None:
        """Record a term that has begun; the primary of an earlier one is replaced."""
        if self.confirmed is not None and term > self.confirmed_term:
            self.denied.add(self.confirmed)
            self.confirmed = None

    def deny(self, member_id: str) -> None:
        """Record a rejection that only a replica gives."""
        self.denied.add(member_id)
        if self.confirmed == member_id:
            self.confirmed = None

    def forget(self, member_id: str) -> None:
        """Remove an upstream that has left the group."""
        self.claims.pop(member_id, None)
        self.denied.discard(member_id)
        if self.confirmed == member_id:
            self.confirmed = None
