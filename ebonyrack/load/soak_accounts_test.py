"""The soak's own check of what ran for client accounts."""

from dataclasses import replace

import pytest

from ebonyrack.load.soak_accounts import ACCOUNTS
from ebonyrack.load.soak_accounts import APPLY_LIMIT_S
from ebonyrack.load.soak_accounts import FOREIGN_KEY
from ebonyrack.load.soak_accounts import SentStatement
from ebonyrack.load.soak_accounts import SoakAccounts
from ebonyrack.standins.line_group import StatementRecord

ACCOUNT = ACCOUNTS[0]
RECORD = StatementRecord("up-1", "1-1", "READ x", 1, False, (), "sig1", ACCOUNT)


@pytest.fixture
def accounts():
    state = SoakAccounts(recovered_s=10.0)
    state.withdrawn_s[state.replace_oldest_key(ACCOUNT)] = 5.0
    return state


@pytest.mark.parametrize(
    ("key", "account", "sent_s", "is_violation"),
    [
        ("account-0-1", ACCOUNT, 10.0 + APPLY_LIMIT_S, False),
        ("account-0-1", ACCOUNT, 10.1 + APPLY_LIMIT_S, True),
        ("account-0-2", ACCOUNT, 10.1 + APPLY_LIMIT_S, False),
        ("account-0-2", ACCOUNTS[1], 1.0, True),
        (FOREIGN_KEY, ACCOUNT, 1.0, True),
    ],
)
def test_statement_that_should_not_have_run_is_reported(
    accounts, key, account, sent_s, is_violation
):
    accounts.sent["1-1"] = SentStatement(key, account, sent_s)
    others = [replace(RECORD, request_id="-", account="ebonyrack")]
    assert bool(accounts.find_violations([RECORD, *others])) == is_violation
