"""The model of a group behind the line protocol."""

from ebonyrack.core.position import LogPosition
from ebonyrack.standins.line_group import LineGroup
from ebonyrack.standins.line_group import LogEntry


def build_log(*positions):
    return [
        LogEntry(LogPosition(term, offset), (("item", f"{term}.{offset}"),))
        for term, offset in positions
    ]


async def test_replica_that_is_rolled_back_has_applied_only_what_it_kept():
    # Seen in a soak: the position of such a replica raised an IndexError, and entries
    # that it received afterwards counted as applied at once.
    group = LineGroup("scheduling", ["up-1", "up-2"])
    replica, primary = group.members["up-1"], group.members["up-2"]
    replica.is_primary, primary.is_primary = False, True
    replica.log = build_log((1, 1), (1, 2), (1, 3), (1, 4))
    replica.applied_count = 4
    replica.apply_delay_s = 60.0
    primary.term, primary.log = 2, build_log((1, 1), (2, 2))
    group.replicate(primary)
    assert replica.applied_position == LogPosition(1, 1)
    primary.log += build_log((2, 3), (2, 4), (2, 5))
    group.replicate(primary)
    assert replica.received_position == LogPosition(2, 5)
    assert replica.read("item") == "1.1"
    for task in list(group.tasks):
        task.cancel()


async def test_replica_behind_a_shorter_log_keeps_the_common_entries():
    group = LineGroup("scheduling", ["up-1", "up-2"])
    replica, primary = group.members["up-1"], group.members["up-2"]
    replica.is_primary, primary.is_primary = False, True
    replica.log, replica.applied_count = build_log((1, 1), (1, 2), (1, 3)), 3
    replica.apply_delay_s = 60.0
    primary.term, primary.log = 2, build_log((1, 1))
    group.replicate(primary)
    assert replica.applied_position == LogPosition(1, 1)
    for task in list(group.tasks):
        task.cancel()
