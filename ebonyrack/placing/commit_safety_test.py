"""Commits of a primary that was lost and has returned before its successor leads."""

import pytest

from ebonyrack.core.position import LogPosition
from ebonyrack.placing.commit_safety import CHANGE_LIFETIME_S
from ebonyrack.placing.commit_safety import CommitDoubt
from ebonyrack.placing.commit_safety import CommitVerdict
from ebonyrack.placing.commit_safety import GroupObservation
from ebonyrack.placing.commit_safety import ReplicaReply
from ebonyrack.placing.commit_safety import find_doubt
from ebonyrack.placing.commit_safety import is_acknowledged_unseen
from ebonyrack.placing.commit_safety import is_conclusive
from ebonyrack.placing.commit_safety import judge_commit
from ebonyrack.requests.reply import UpstreamStatus

COMMIT = LogPosition(3, 10)
LONG_S = CHANGE_LIFETIME_S + 1.0


def build_observation(calm_s=float("inf"), join_s=float("inf"), earlier=None, now=None):
    return GroupObservation(calm_s, join_s, earlier, now)


def build_reply(offset=10, running_s=LONG_S, paused=0, term=3, leads=False):
    position = LogPosition(term, offset)
    status = UpstreamStatus(leads, term, position, paused, 0.0, 0, 0)
    return ReplicaReply(status, running_s)


@pytest.mark.parametrize(
    ("observation", "doubt"),
    [
        (build_observation(), None),
        (build_observation(calm_s=0.5), CommitDoubt.PRIMARY_DISTURBED),
        (build_observation(calm_s=LONG_S, join_s=LONG_S), None),
        (build_observation(join_s=3.0), CommitDoubt.UPSTREAM_JOINED),
        (build_observation(earlier=COMMIT, now=COMMIT), None),
        (build_observation(earlier=COMMIT), None),
        (
            build_observation(earlier=COMMIT, now=LogPosition(3, 9)),
            CommitDoubt.REPLICAS_BEHIND,
        ),
    ],
)
def test_replicas_are_asked_only_if_a_change_may_be_under_way(observation, doubt):
    assert find_doubt(observation) is doubt


@pytest.mark.parametrize(
    ("replies", "is_complete", "verdict"),
    [
        ([], True, CommitVerdict.NOT_SHOWN),
        ([build_reply()], False, CommitVerdict.HELD),
        ([build_reply(offset=9)], True, CommitVerdict.NOT_SHOWN),
        # The candidate, or a replica whose position the candidate was compared with.
        ([build_reply(paused=4)], False, CommitVerdict.HELD),
        ([build_reply(), build_reply(term=4)], True, CommitVerdict.REPLACED),
        ([build_reply(leads=True)], True, CommitVerdict.NOT_SHOWN),
        # Connections to all upstreams were reset a while ago, or they restarted.
        ([build_reply(running_s=2.0), build_reply(5)], True, CommitVerdict.HELD),
        ([build_reply(running_s=2.0)], False, CommitVerdict.NOT_SHOWN),
        ([build_reply(running_s=0.5)], True, CommitVerdict.NOT_SHOWN),
        (
            [build_reply(running_s=2.0), build_reply(5, 2.0, paused=4)],
            True,
            CommitVerdict.NOT_SHOWN,
        ),
        ([build_reply(running_s=2.0, paused=4)], True, CommitVerdict.NOT_SHOWN),
    ],
)
def test_commit_counts_if_every_possible_successor_holds_it(
    replies, is_complete, verdict
):
    assert judge_commit(COMMIT, replies, is_complete) is verdict


def test_one_reply_is_enough_only_from_a_replica_that_has_run_all_along():
    assert is_conclusive(COMMIT, build_reply())
    assert is_conclusive(COMMIT, build_reply(term=4))
    assert not is_conclusive(COMMIT, build_reply(running_s=2.0))
    assert not is_conclusive(COMMIT, build_reply(offset=9))


def test_group_with_new_replicas_only_acknowledges_while_its_primary_serves():
    assert is_acknowledged_unseen(CommitDoubt.UPSTREAM_JOINED, False)
    assert not is_acknowledged_unseen(CommitDoubt.UPSTREAM_JOINED, True)
    assert not is_acknowledged_unseen(CommitDoubt.PRIMARY_DISTURBED, False)
