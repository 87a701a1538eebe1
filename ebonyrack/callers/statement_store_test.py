import pytest

from ebonyrack.callers.prepared import PreparedStatement
from ebonyrack.callers.statement_store import MAXIMUM_STATEMENTS
from ebonyrack.callers.statement_store import StatementStore
from ebonyrack.core.errors import RequestError


def build_prepared(body=b"SELECT 1"):
    return PreparedStatement(None, body.decode(), body, b"s")


def test_full_store_replaces_a_known_name_and_rejects_a_new_one():
    store = StatementStore()
    for number in range(MAXIMUM_STATEMENTS):
        store.add(b"%d" % number, build_prepared())
    store.add(b"7", build_prepared(b"SELECT 22"))
    assert store.statements[b"7"].body == b"SELECT 22"
    assert store.statement_bytes == 8 * MAXIMUM_STATEMENTS + 1
    with pytest.raises(RequestError):
        store.add(b"new", build_prepared())
