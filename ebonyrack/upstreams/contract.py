"""The SQL functions that a database group must provide."""

from __future__ import annotations

from dataclasses import dataclass

from ebonyrack.core.address import Address
from ebonyrack.core.position import LogPosition
from ebonyrack.core.position import parse_position
from ebonyrack.core.registry import Registry
from ebonyrack.upstreams.status import Role
from ebonyrack.upstreams.status import UpstreamStatus


@dataclass(frozen=True, slots=True)
class FenceResult:
    """Result of a request for a grant of a term.

    Attributes:
        granted: Whether the term was granted.
        fenced_term: Highest term that the upstream has granted.
        received: Position of the last entry of its log.
    """

    granted: bool
    fenced_term: int
    received: LogPosition


@dataclass(frozen=True, slots=True)
class HoldsResult:
    """Result of a query for whether a log has an entry.

    Attributes:
        held: Whether the entry of that term is at that offset.
        term: Current term of the upstream.
        received: Position of the last entry of its log.
    """

    held: bool
    term: int
    received: LogPosition


CONTRACTS: Registry[type[EbonyrackContract]] = Registry("contract")


@CONTRACTS.register("ebonyrack")
class EbonyrackContract:
    """The project's own contract, which the stand-in group implements.

    The `build_...` methods each build one statement; the `parse_...` methods parse
    the single row that the upstream returns for it.

    * `ebonyrack_poll(term, offset, wait_ms)`: a row `(role, term, fenced_term,
      received, applied, leaving, silence_ms)`. With `wait_ms` above 0 the call
      returns when the upstream's *applied* position reaches `term/offset`, or after
      `wait_ms`. `silence_ms` is the time since a replica last received anything
      (entries or heartbeats) from the primary that it follows, empty on a primary;
      an upstream that does not measure it omits the column.
    * `ebonyrack_poll_received(...)`: the same, waiting for the *received* position.
    * `ebonyrack_fence(term)`: a row `(granted, fenced_term, received)`. Granted
      when `term` is higher than any granted before; from then on the upstream
      permanently rejects writes and replication of lower terms. Each term is
      granted at most once; open transactions of a fenced primary are rolled back.
    * `ebonyrack_promote(term)`: makes the upstream primary in a term that it has
      granted and writes the term-start record. A row `(received)`.
    * `ebonyrack_follow(term, host, port)`: makes it a replica of that primary,
      unless it granted a higher term. Entries that the primary lacks are discarded.
    * `ebonyrack_last_commit()`: a row with the position of the last transaction
      that *this connection* committed, or an empty string.
    * `ebonyrack_holds(term, offset)`: a row `(held, term, received)`: whether the
      upstream's log has an entry of exactly that term at that offset, with the
      upstream's current term and last position, all read atomically.
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
        """Build the command to become primary."""
        return f"SELECT * FROM ebonyrack_promote({term})"

    def build_follow(self, term: int, primary: Address) -> str:
        """Build the command to follow a primary."""
        return (
            f"SELECT * FROM ebonyrack_follow({term}, '{primary.host}', {primary.port})"
        )

    def build_last_commit(self) -> str:
        """Build the query for the connection's last committed position."""
        return "SELECT ebonyrack_last_commit()"

    def build_holds(self, position: LogPosition) -> str:
        """Build the query for whether the log has the entry at a position."""
        return f"SELECT * FROM ebonyrack_holds({position.term}, {position.offset})"

    def parse_status(self, row: tuple[str | None, ...]) -> UpstreamStatus:
        """Parse the row of a poll.

        Raises:
            ValueError: If the row is malformed.
        """
        role, term, fenced_term, received, applied, leaving, *rest = replace_nulls(row)
        return UpstreamStatus(
            role=Role(role),
            term=int(term),
            fenced_term=int(fenced_term),
            received=parse_position(received),
            applied=parse_position(applied),
            leaving=leaving == "t",
            silence_s=int(rest[0]) / 1000 if rest and rest[0] else None,
        )

    def parse_grant(self, row: tuple[str | None, ...]) -> FenceResult:
        """Parse the row of a fence.

        Raises:
            ValueError: If the row is malformed.
        """
        granted, fenced_term, received = replace_nulls(row)
        return FenceResult(granted == "t", int(fenced_term), parse_position(received))

    def parse_promotion(self, row: tuple[str | None, ...]) -> LogPosition:
        """Parse the row of a promotion: the position of the term-start record.

        Raises:
            ValueError: If the row is malformed.
        """
        (received,) = replace_nulls(row)
        return parse_position(received)

    def parse_holds(self, row: tuple[str | None, ...]) -> HoldsResult:
        """Parse the row of a query for whether the log has an entry.

        Raises:
            ValueError: If the row is malformed.
        """
        held, term, received = replace_nulls(row)
        return HoldsResult(held == "t", int(term), parse_position(received))


def replace_nulls(row: tuple[str | None, ...]) -> tuple[str, ...]:
    """Replace NULL by an empty string.

    Args:
        row: Fields of one row in text form.

    Returns:
        The fields.
    """
    return tuple(field or "" for field in row)
