"""Messages between proxies for routes, which must not change between releases."""

from ebonyrack.handover import statement_messages
from ebonyrack.limits import limit_messages
from ebonyrack.peers.message import MESSAGE_TYPES

# Fields are encoded by position, as in peers/codec_test.py.
WIRE_FORMAT = {
    200: "AskGrants asker number shard version needed wanted unused limits",
    201: "GrantsReply is_owner version counts validity_s due_s",
    220: "HandedStatement version sender_version database account transaction begins "
    "kind request_id text name argument prepared_text prepared_writes values "
    "last_commit waited_s",
    221: "HandedAnswer rows more_rows signature position error reason retry_after_s "
    "version",
    222: "HandedDeclined reason",
    223: "EndHandedTransaction transaction",
    224: "FetchRows number",
    225: "MoreRows rows more_rows",
}


def test_wire_format_is_unchanged():
    modules = (limit_messages.__name__, statement_messages.__name__)
    present = {
        code: " ".join([entry.__name__, *entry.__dataclass_fields__])
        for code, entry in MESSAGE_TYPES.items()
        if entry.__module__ in modules
    }
    assert present == WIRE_FORMAT
