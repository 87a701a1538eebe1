from pathlib import Path

import msgpack
import pytest

from ebonyrack.core.address import Address
from ebonyrack.peers import messages
from ebonyrack.peers.codec import pack_message
from ebonyrack.peers.codec import parse_frame
from ebonyrack.peers.member import Member
from ebonyrack.peers.member import MemberState
from ebonyrack.peers.member_messages import Heartbeat
from ebonyrack.peers.message import MESSAGE_TYPES
from ebonyrack.peers.message import BadMessageError
from ebonyrack.peers.message import Message
from ebonyrack.peers.message import register_message
from ebonyrack.peers.plain_fields import build_plain_validator

# Fields are encoded by position: processes of two releases are compatible only while
# each code keeps its message type and the order of its fields.
WIRE_FORMAT = {
    1: "Hello version role member nonce",
    2: "Proof digest",
    3: "Failure reason",
    4: "NotHandled reason",
    10: "Heartbeat incarnation revision digest interval_ms news",
    11: "AskMembers",
    12: "MembersReply members",
    13: "AskReach name",
    14: "ReachReply is_reachable",
    15: "Leaving member",
    16: "Flood identity code fields",
    17: "Unlink",
    20: "PrimarySeen group term primary_name",
    21: "AskPrimary group primary_name term",
    22: "PrimaryOpinion reachable term primary_name",
    23: "HoldWrites group term hold_ms",
    24: "WritesHeld is_drained",
    30: "DocumentNews revision",
    31: "AskDocument above_revision",
    32: "DocumentReply revision stored",
    33: "ChangesReply base_revision revision changes history digest",
    34: "VmNews index leaving",
    40: "StatusRequest include_sessions",
    41: "StatusReply proxy revision is_cut_off members groups sessions",
    42: "DrainRequest",
    43: "SwitchoverRequest group to",
    44: "CommandReply succeeded text",
    50: "EditRequest edit_id operator base_revision changes expected limit_s is_repeat",
    51: "EditReply outcome revision reasons difference",
    52: "AskRevisions",
    53: "RevisionsReply revisions",
    54: "AuthenticateRequest operator data",
    55: "AuthenticateReply data",
    60: "CancelSession number secret_key",
    190: "ProxyHello version name incarnation",
    191: "EndLink",
    192: "LinkAlive",
}
MEMBER = Member("p-1", Address("127.0.0.1", 7), "dc-1", "north", 5, MemberState.ALIVE)
MEMBER_ARRAY = ["p-1", "127.0.0.1:7", "dc-1", "north", 5, 0]


def describe(message_type):
    return " ".join([message_type.__name__, *message_type.__dataclass_fields__])


def test_wire_format_is_unchanged():
    present = {
        code: describe(entry)
        for code, entry in MESSAGE_TYPES.items()
        if entry.__module__.startswith("ebonyrack.peers.")
        and not entry.__module__.endswith("_test")
    }
    assert present == WIRE_FORMAT


def test_every_message_module_is_imported():
    folder = Path(messages.__file__).parent
    modules = [path.stem for path in folder.glob("*_messages.py")]
    assert sorted(modules) == sorted(messages.__all__)


def test_frame_is_an_array_and_round_trips():
    heartbeat = Heartbeat(5, 6, 7, 200, (MEMBER,))
    frame = msgpack.unpackb(pack_message(heartbeat, -3))
    assert frame == [10, -3, [5, 6, 7, 200, [MEMBER_ARRAY]]]
    assert parse_frame(frame) == (heartbeat, -3)


@pytest.mark.parametrize(
    "frame",
    [
        {},
        [10, 0],
        [10, "0", []],
        [999, 0, []],
        ["10", 0, []],
        [10, 0, {}],
        [10, 0, [5, 6]],
        [10, 0, [5, 6, 7, 200, [MEMBER_ARRAY[:-1]]]],
        [10, 0, [5, 6, 7, 200, [[*MEMBER_ARRAY[:-1], 9]]]],
    ],
)
def test_invalid_frame_is_rejected(frame):
    with pytest.raises(BadMessageError):
        parse_frame(frame)


@register_message(9001)
class Plain(Message):
    number: int
    ratio: float
    text: str | None
    rows: list[bytes]
    values: dict[bytes, bytes]
    is_last: bool = False


PLAIN_FIELDS = [1, 2.5, "a", [b"r"], {b"k": b"v"}, True]


def test_plain_fields_are_accepted_without_pydantic():
    message = parse_frame([9001, 0, PLAIN_FIELDS])[0]
    assert message == Plain(*PLAIN_FIELDS)
    assert build_plain_validator(Heartbeat) is None


@pytest.mark.parametrize(
    ("index", "value"),
    [(0, True), (0, "1"), (1, "2"), (2, b"a"), (3, ["r"]), (4, {b"k": 1}), (5, 1)],
)
def test_plain_fields_of_another_type_are_rejected(index, value):
    fields = [*PLAIN_FIELDS]
    fields[index] = value
    with pytest.raises(BadMessageError):
        parse_frame([9001, 0, fields])


@pytest.mark.parametrize("fields", [PLAIN_FIELDS[:-1], [*PLAIN_FIELDS, 1]])
def test_wrong_number_of_plain_fields_is_rejected(fields):
    with pytest.raises(BadMessageError):
        parse_frame([9001, 0, fields])


def test_duplicate_message_code_is_rejected():
    with pytest.raises(ValueError, match="code 10 is registered already"):

        @register_message(10)
        class Repeat(Message):
            pass
