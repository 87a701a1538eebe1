"""Messages between proxies, and between operators' tools and proxies.

A frame on a link is a msgpack array `[code, correlation, fields]`. The correlation
is 0 for a one-way message, positive for a request and negative for its reply.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import IntEnum
from typing import Annotated
from typing import Any
from typing import ClassVar
from typing import TypeVar

import msgpack
from pydantic import BeforeValidator
from pydantic import ConfigDict
from pydantic import TypeAdapter
from pydantic import ValidationError
from pydantic_core import ArgsKwargs

from ebonyrack.core.address import Address
from ebonyrack.core.ini import AddressField

PROTOCOL_VERSION = 1
MAXIMUM_FRAME_BYTES = 2 * 1024 * 1024

PeerRecord = TypeVar("PeerRecord", bound="type[Message]")


class BadMessageError(Exception):
    """Bytes from a peer that are no valid message."""


class Message:
    """Base of all records that travel on a link."""

    __slots__ = ()
    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(arbitrary_types_allowed=True)


class MemberState(IntEnum):
    """State of a member; at equal incarnations the higher number overrides."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


MESSAGE_TYPES: dict[int, type[Message]] = {}
MESSAGE_CODES: dict[type[Message], int] = {}
ADAPTERS: dict[type[Message], TypeAdapter[Any]] = {}


def register_message(code: int) -> Callable[[PeerRecord], PeerRecord]:
    """Return a decorator that registers a message type under its code.

    Args:
        code: Number of the message on the wire; never used for another type.

    Returns:
        The decorator.

    Raises:
        ValueError: If the code is taken (raised by the decorator).
    """

    def add(message_type: PeerRecord) -> PeerRecord:
        if code in MESSAGE_TYPES:
            raise ValueError(f"message code {code} is registered already")
        MESSAGE_TYPES[code] = message_type
        MESSAGE_CODES[message_type] = code
        return message_type

    return add


def read_fields(value: object) -> object:
    """Let pydantic read a nested record from the array of its fields."""
    return ArgsKwargs(tuple(value)) if isinstance(value, list) else value


@dataclass(frozen=True, slots=True)
class Member(Message):
    """A proxy as its peers know it.

    Attributes:
        name: Name from its settings.
        address: Its peer address.
        data_centre: Its data centre.
        region: Its region.
        incarnation: Number that only the member itself raises.
        state: State in that incarnation.
    """

    name: str
    address: AddressField
    data_centre: str
    region: str
    incarnation: int
    state: MemberState


MemberField = Annotated[Member, BeforeValidator(read_fields)]


@register_message(1)
@dataclass(frozen=True, slots=True)
class Hello(Message):
    """First message of both sides of a link.

    Attributes:
        version: Protocol version.
        role: `proxy` or `operator`.
        member: Who the sender is; an operator sends a member of its own name.
        nonce: Challenge that the other side's proof must answer.
    """

    version: int
    role: str
    member: MemberField
    nonce: bytes


@register_message(2)
@dataclass(frozen=True, slots=True)
class Proof(Message):
    """HMAC of both challenges under the shared secret."""

    digest: bytes


@register_message(3)
@dataclass(frozen=True, slots=True)
class Failure(Message):
    """Reply to a request that could not be answered."""

    reason: str


@register_message(10)
@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Sign of life with piggybacked news.

    Attributes:
        incarnation: The sender's incarnation.
        revision: Highest revision of the document that the sender runs.
        digest: Hash of the members that the sender holds for live.
        interval_ms: Milliseconds until the sender's next heartbeat.
        news: Changes of members that the receiver may not know.
    """

    incarnation: int
    revision: int
    digest: int
    interval_ms: int
    news: tuple[MemberField, ...] = ()


@register_message(11)
@dataclass(frozen=True, slots=True)
class AskMembers(Message):
    """Request for the whole table of members."""


@register_message(12)
@dataclass(frozen=True, slots=True)
class MembersReply(Message):
    """Every member that the sender knows."""

    members: tuple[MemberField, ...]


@register_message(13)
@dataclass(frozen=True, slots=True)
class AskReach(Message):
    """Question whether a member answers the receiver; it says yes for itself."""

    name: str


@register_message(14)
@dataclass(frozen=True, slots=True)
class ReachReply(Message):
    """Answer to `AskReach`."""

    is_reachable: bool


@register_message(15)
@dataclass(frozen=True, slots=True)
class Leaving(Message):
    """A proxy that shuts down; it takes no new work from now on."""

    member: MemberField


@register_message(17)
@dataclass(frozen=True, slots=True)
class Unlink(Message):
    """The sender closes this link since it needs it no more; it goes on itself."""


@register_message(16)
@dataclass(frozen=True, slots=True)
class Flood(Message):
    """A broadcast that receivers pass on when not all members are linked.

    Attributes:
        identity: Random number by which a repeat is recognised.
        code: Code of the message inside.
        fields: Its fields.
    """

    identity: int
    code: int
    fields: list[Any]


@register_message(20)
@dataclass(frozen=True, slots=True)
class PrimarySeen(Message):
    """News of a group's primary."""

    group: str
    term: int
    primary_name: str


@register_message(21)
@dataclass(frozen=True, slots=True)
class AskPrimary(Message):
    """Pre-vote: whether the receiver reaches the group's primary."""

    group: str
    primary_name: str
    term: int


@register_message(22)
@dataclass(frozen=True, slots=True)
class PrimaryOpinion(Message):
    """Answer to `AskPrimary`: what the sender sees itself."""

    reachable: bool
    term: int
    primary_name: str


@register_message(23)
@dataclass(frozen=True, slots=True)
class HoldWrites(Message):
    """Request to let new writes of a group wait while its primary is moved.

    Attributes:
        group: Name of the group.
        term: Term of the primary that is to be replaced.
        hold_ms: Milliseconds for which they wait at most; 0 lets them go on.
    """

    group: str
    term: int
    hold_ms: int


@register_message(24)
@dataclass(frozen=True, slots=True)
class WritesHeld(Message):
    """Answer to `HoldWrites`: whether no transaction is open on the primary."""

    is_drained: bool


@register_message(30)
@dataclass(frozen=True, slots=True)
class DocumentNews(Message):
    """A revision of the document that the sender runs."""

    revision: int


@register_message(31)
@dataclass(frozen=True, slots=True)
class AskDocument(Message):
    """Request for the document, if it is newer than a revision."""

    above_revision: int


@register_message(32)
@dataclass(frozen=True, slots=True)
class DocumentReply(Message):
    """The stored form of the document; empty when there is nothing newer."""

    revision: int
    stored: bytes


@register_message(33)
@dataclass(frozen=True, slots=True)
class ChangesReply(Message):
    """What changed in the document since the revision that was asked about.

    Attributes:
        base_revision: Revision to which the changes apply.
        revision: Revision that they lead to.
        changes: Title of each changed section to its text, None if removed.
        history: The edits between the two, each as the list of its fields.
        digest: Digest of the text that they lead to.
    """

    base_revision: int
    revision: int
    changes: dict[str, str | None]
    history: list[list[Any]]
    digest: bytes


@register_message(34)
@dataclass(frozen=True, slots=True)
class VmNews(Message):
    """The leaving VMs that the sender knows from the platform's list.

    Attributes:
        index: The list's own index.
        leaving: Names of the VMs.
    """

    index: int
    leaving: tuple[str, ...]


@register_message(60)
@dataclass(frozen=True, slots=True)
class CancelSession(Message):
    """A caller's cancel request that reached another proxy than its session.

    Attributes:
        number: Number of the session in its proxy.
        secret_key: Secret that only the session's caller was told.
    """

    number: int
    secret_key: bytes


@register_message(40)
@dataclass(frozen=True, slots=True)
class StatusRequest(Message):
    """An operator's question for the state of a proxy.

    Attributes:
        include_sessions: Whether callers' sessions are listed too.
    """

    include_sessions: bool = False


@register_message(41)
@dataclass(frozen=True, slots=True)
class StatusReply(Message):
    """State of a proxy.

    Attributes:
        proxy: Its name.
        revision: Revision of the document that it runs.
        is_cut_off: Whether it takes no new work for being cut off.
        members: Members that it knows.
        groups: Group name to what the proxy knows of the group.
        sessions: One entry for each caller's session, if asked for.
    """

    proxy: str
    revision: int
    is_cut_off: bool
    members: tuple[MemberField, ...]
    groups: dict[str, Any] = field(default_factory=dict)
    sessions: list[dict[str, Any]] = field(default_factory=list)


@register_message(42)
@dataclass(frozen=True, slots=True)
class DrainRequest(Message):
    """An operator's order to a proxy to shut down gracefully."""


@register_message(43)
@dataclass(frozen=True, slots=True)
class SwitchoverRequest(Message):
    """An operator's order to move a group's primary; any replica if `to` is empty."""

    group: str
    to: str = ""


@register_message(44)
@dataclass(frozen=True, slots=True)
class CommandReply(Message):
    """Outcome of an operator's order."""

    succeeded: bool
    text: str


@register_message(50)
@dataclass(frozen=True, slots=True)
class EditRequest(Message):
    """An operator's change of the document.

    Attributes:
        edit_id: Identity of the edit, by which a lost answer is settled.
        operator: Name of the operator.
        base_revision: Revision that the operator started from.
        changes: Title of each changed section to its text, None to remove it.
        expected: Title of each changed section to the digest of the text that
            the operator started from.
        limit_s: Seconds within which the operator wants an answer.
        is_repeat: Whether an earlier attempt may have been made.
    """

    edit_id: str
    operator: str
    base_revision: int
    changes: dict[str, str | None]
    expected: dict[str, bytes]
    limit_s: float
    is_repeat: bool = False


@register_message(51)
@dataclass(frozen=True, slots=True)
class EditReply(Message):
    """Outcome of an edit.

    Attributes:
        outcome: `accepted`, `refused`, `not_accepted` or `unknown`.
        revision: Revision that holds the edit, if accepted.
        reasons: Faults of the document, or why it was not accepted.
        difference: Unified diff to the document in force, for a lost race.
    """

    outcome: str
    revision: int = 0
    reasons: tuple[str, ...] = ()
    difference: str = ""


@register_message(52)
@dataclass(frozen=True, slots=True)
class AskRevisions(Message):
    """An operator's question which proxies run which revision."""


@register_message(53)
@dataclass(frozen=True, slots=True)
class RevisionsReply(Message):
    """Proxy name to the revision that it runs; 0 if it was not reached."""

    revisions: dict[str, int]


@register_message(54)
@dataclass(frozen=True, slots=True)
class AuthenticateRequest(Message):
    """One message of an operator's SCRAM exchange."""

    operator: str
    data: str


@register_message(55)
@dataclass(frozen=True, slots=True)
class AuthenticateReply(Message):
    """The proxy's message of a SCRAM exchange."""

    data: str


def list_fields(record: object) -> Any:
    """Turn a record into what msgpack can pack."""
    if isinstance(record, Message):
        return get_fields(record)
    if isinstance(record, Address):
        return str(record)
    raise TypeError(f"not a record of the peers' protocol: {record!r}")


def get_fields(message: Message) -> list[Any]:
    """Return the values of a message's fields in their order."""
    names = type(message).__dataclass_fields__  # type: ignore[attr-defined]
    return [getattr(message, name) for name in names]


def pack_message(message: Message, correlation: int = 0) -> bytes:
    """Encode a message as one frame.

    Args:
        message: The message.
        correlation: 0, the number of a request, or the negative of it in a reply.

    Returns:
        The frame.
    """
    frame = [MESSAGE_CODES[type(message)], correlation, get_fields(message)]
    packed: bytes = msgpack.packb(frame, default=list_fields)
    return packed


def build_message(code: object, fields: object) -> Message:
    """Build a message from its decoded parts.

    Args:
        code: Code of its type.
        fields: Values of its fields in their order.

    Returns:
        The message.

    Raises:
        BadMessageError: If the code is unknown or a field is not valid.
    """
    message_type = MESSAGE_TYPES.get(code) if isinstance(code, int) else None
    if message_type is None or not isinstance(fields, list):
        raise BadMessageError(f"unknown message code {code!r}")
    adapter = ADAPTERS.get(message_type)
    if adapter is None:
        adapter = ADAPTERS[message_type] = TypeAdapter(message_type)
    try:
        message: Message = adapter.validate_python(ArgsKwargs(tuple(fields)))
    except ValidationError as error:
        raise BadMessageError(f"bad fields of {message_type.__name__}") from error
    return message


def parse_frame(frame: object) -> tuple[Message, int]:
    """Read one decoded frame.

    Args:
        frame: What msgpack unpacked.

    Returns:
        The message and its correlation.

    Raises:
        BadMessageError: If it is no valid frame.
    """
    if not isinstance(frame, list) or len(frame) != 3 or not isinstance(frame[1], int):
        raise BadMessageError("not a frame of the peers' protocol")
    code, correlation, fields = frame
    return build_message(code, fields), correlation
