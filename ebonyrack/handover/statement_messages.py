"""Messages by which a proxy hands a statement to a home of its group."""

from __future__ import annotations

from ebonyrack.peers.message import Message
from ebonyrack.peers.message import register_message


@register_message(220)
class HandedStatement(Message):
    """A caller's statement, to be served by the receiver and by nobody else.

    Attributes:
        version: Version of the routes that the receiver must have at least.
        sender_version: Version of the routes in force at the sender.
        database: Name of the database that the caller requested.
        account: Name of the client account; empty for an anonymous caller.
        transaction: Number of the sender's transaction, 0 outside of one.
        begins: Kind of the request that begins the transaction before the statement,
            empty unless it is the first one.
        kind: Kind of request.
        request_id: The caller's id.
        text: The statement as sent by the caller.
        name: Name of the prepared statement that it executes.
        argument: Its arguments.
        prepared_text: Text of the prepared statement, or None.
        prepared_writes: Whether that writes.
        values: The session's values.
        last_commit: Term and offset of the session's newest commit in the group;
            empty without one.
        waited_s: Seconds since the statement arrived at the sender.
    """

    version: int
    sender_version: int
    database: bytes
    account: str
    transaction: int
    begins: str
    kind: str
    request_id: bytes | None
    text: bytes
    name: bytes
    argument: bytes
    prepared_text: bytes | None
    prepared_writes: bool
    values: dict[bytes, bytes]
    last_commit: list[int]
    waited_s: float


@register_message(221)
class HandedAnswer(Message):
    """Answer of a home to a statement that it served.

    Attributes:
        rows: Payload of the rows, or of the first of them.
        more_rows: Number by which the sender is asked for further rows, or 0.
        signature: The upstream's signature, or None.
        position: Term and offset of the session's newest commit in the group; empty
            without one.
        error: Kind of the error with which it failed, or empty.
        reason: Reason of the error.
        retry_after_s: Seconds after which a retry may succeed, or None.
        version: Version of the routes that the home used.
    """

    rows: list[bytes]
    more_rows: int
    signature: bytes | None
    position: list[int]
    error: str
    reason: str
    retry_after_s: float | None
    version: int


@register_message(222)
class HandedDeclined(Message):
    """Answer of a home that ran nothing of a statement; another one may be asked."""

    reason: str


@register_message(223)
class EndHandedTransaction(Message):
    """The sender's transaction is to be rolled back; it isn't answered."""

    transaction: int


@register_message(224)
class FetchRows(Message):
    """Question for the rows that an answer had no room for."""

    number: int


@register_message(225)
class MoreRows(Message):
    """Further rows of an answer.

    Attributes:
        rows: Payload of the rows.
        more_rows: Number by which the next ones are asked for, or 0.
    """

    rows: list[bytes]
    more_rows: int
