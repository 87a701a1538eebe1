"""The SQL functions that a database group must offer."""

from __future__ import annotations

from ebonyrack.core.address import Address
from ebonyrack.core.position import LogPosition
from ebonyrack.core.position import parse_position
from ebonyrack.core.registry import Registry
from ebonyrack.upstreams.status import Role
from ebonyrack.upstreams.status import UpstreamStatus

CONTRACTS: Registry[type[EbonyrackContract]] = Registry("contract")


@CONTRACTS.register("ebonyrack")
class EbonyrackContract:
    """The project's own contract, which the stand-in group implements.

    Each method builds one statement; `parse_status` and `parse_grant` read the
    single row that the upstream answers.

    * `ebonyrack_poll(term, offset, wait_ms)`: a row `(role, term, fenced_term,
      received, applied, leaving)`. With `wait_ms` above 0 the answer waits until
      the upstream's *applied* position reaches `term/offset`, or the time is over.
    * `ebonyrack_poll_received(...)`: the same, waiting for the *received* position.
    * `ebonyrack_fence(term)`: a row `(granted, fenced_term, received)`. Granted
      when `term` is higher than any granted before; from then on the upstream
      refuses writes and replication of lower terms, for ever. Each term is
      granted at most once; open transactions of a fenced primary are rolled back.
    * `ebonyrack_promote(term)`: makes the upstream primary in a term that it has
      granted and writes the term-start record. A row `(received)`.
    * `ebonyrack_follow(term, host, port)`: makes it a replica of that primary,
      unless it granted a higher term. Entries that the primary lacks are dropped.
    * `ebonyrack_last_commit()`: a row with the position of the last transaction
      that *this connection* committed, or an empty string.
    """

    __slots__ = ()

    def build_poll(
        self, position: LogPosition, wait_ms: int, received: bool = False
    ) -> str:
        """Build a poll that waits for a position for at most `wait_ms`."""
        name = "ebonyrack_poll_received" if received else "ebonyrack_poll"
        return f"SELECT * FROM {name}({position.term}, {position.offset}, {wait_ms})"

    def build_fence(self, term: int) -> str:
        """Build the request for a grant of a term."""
        return f"SELECT * FROM ebonyrack_fence({term})"

    def build_promote(self, term: int) -> str:
        """Build the order to become primary."""
        return f"SELECT * FROM ebonyrack_promote({term})"

    def build_follow(self, term: int, primary: Address) -> str:
        """Build the order to follow a primary."""
        return (
            f"SELECT * FROM ebonyrack_follow({term}, '{primary.host}', {primary.port})"
        )

    def build_last_commit(self) -> str:
        """Build the question for the connection's last committed position."""
        return "SELECT ebonyrack_last_commit()"

    def parse_status(self, row: tuple[str, ...]) -> UpstreamStatus:
        """Read the row of a poll."""
        role, term, fenced_term, received, applied, leaving = row
        return UpstreamStatus(
            role=Role(role),
            term=int(term),
            fenced_term=int(fenced_term),
            received=parse_position(received),
            applied=parse_position(applied),
            leaving=leaving == "t",
        )

    def parse_grant(self, row: tuple[str, ...]) -> tuple[bool, int, LogPosition]:
        """Read the row of a fence: granted, highest granted term, last entry."""
        granted, fenced_term, received = row
        return granted == "t", int(fenced_term), parse_position(received)
