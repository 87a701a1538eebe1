from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.serving.account_labels import MAXIMUM_LABELS
from ebonyrack.serving.account_labels import MINIMUM_REQUESTS
from ebonyrack.serving.account_labels import OTHER
from ebonyrack.serving.account_labels import RECENT_REQUESTS
from ebonyrack.serving.account_labels import AccountLabels


def test_large_accounts_get_labels_and_small_ones_share_one():
    labels = AccountLabels()
    for number in range(RECENT_REQUESTS * 2):
        labels.count_request("large" if number % 2 else f"small-{number % 400}")
    assert labels.count_request("large") == "large"
    assert labels.count_request("small-2") == OTHER
    assert labels.labels == {"large"}


def test_account_that_grows_gets_a_label():
    labels = AccountLabels()
    for _ in range(RECENT_REQUESTS):
        labels.count_request("large")
    given_labels = [labels.count_request("grown") for _ in range(RECENT_REQUESTS)]
    assert given_labels[0] == OTHER
    assert given_labels[-1] == "grown"


@given(st.lists(st.integers(0, 10**9), max_size=200), st.integers(1, 60))
def test_labels_and_counts_stay_bounded(numbers, accounts):
    labels = AccountLabels()
    for number in [*numbers, *range(MINIMUM_REQUESTS * 3)]:
        labels.count_request(f"account-{number % accounts}")
    assert len(labels.labels) <= MAXIMUM_LABELS
    assert len(labels.counts) <= RECENT_REQUESTS
    assert labels.total == labels.counts.total()
