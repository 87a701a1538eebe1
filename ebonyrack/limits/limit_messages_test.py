"""The messages' wire format stays as it is, and their fields are checked."""

import msgpack
import pytest

from ebonyrack.limits.limit_messages import AskGrants
from ebonyrack.limits.limit_messages import GrantsReply
from ebonyrack.peers.codec import pack_message
from ebonyrack.peers.codec import parse_frame
from ebonyrack.peers.message import MESSAGE_CODES
from ebonyrack.peers.message import BadMessageError
from ebonyrack.peers.plain_fields import build_plain_validator

ASK = AskGrants(
    "proxy-1/7f", 5, 3, 12, {"siam": 2}, {"siam": 4}, {"siam": [[4, 1]]}, {}
)
REPLY = GrantsReply(True, 12, {"siam": 4}, {"siam": 1.5}, {})


def test_wire_format_is_unchanged():
    fields = {
        code: " ".join([entry.__name__, *entry.__dataclass_fields__])
        for entry, code in MESSAGE_CODES.items()
        if 200 <= code < 220
    }
    assert fields == {
        200: "AskGrants asker number shard version needed wanted unused limits",
        201: "GrantsReply is_owner version counts validity_s due_s",
    }


@pytest.mark.parametrize("message", [ASK, REPLY])
def test_messages_round_trip_without_pydantic(message):
    assert build_plain_validator(type(message)) is not None
    frame = msgpack.unpackb(pack_message(message, 9))
    assert parse_frame(frame) == (message, 9)


def test_malformed_question_is_refused():
    with pytest.raises(BadMessageError):
        parse_frame([200, 1, ["proxy-1/7f", 5, 3, 12, {"siam": "2"}, {}, {}, {}]])
