import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.core.position import LogPosition
from ebonyrack.standins.log import LogEntry
from ebonyrack.standins.log import TransactionLog


def append(log, term):
    log.append(LogEntry(LogPosition(term, log.last.offset + 1), 0, ()))


def copy(log, offset):
    other = TransactionLog()
    for entry in log.entries[:offset]:
        other.append(entry)
    return other


@st.composite
def histories(draw):
    """Generate the logs of three upstreams after some terms, each with one writer."""
    logs = [TransactionLog() for _ in range(3)]
    for term in range(1, draw(st.integers(1, 6)) + 1):
        writer = draw(st.integers(0, 2))
        for _ in range(draw(st.integers(1, 3))):
            append(logs[writer], term)
        for index in {0, 1, 2} - {writer}:
            if draw(st.booleans()):
                # A replica copies the writer's log up to some offset.
                end = draw(st.integers(0, len(logs[writer].entries)))
                logs[index] = copy(logs[writer], end)
    return logs


@given(histories())
def test_common_offset_is_the_length_of_the_common_prefix(logs):
    for one in logs:
        for other in logs:
            pairs = zip(one.entries, other.entries, strict=False)
            expected = 0
            for mine, theirs in pairs:
                if mine.position != theirs.position:
                    break
                expected += 1
            assert one.find_common_offset(other.ranges) == expected


@given(histories(), st.integers(0, 20))
def test_truncated_log_equals_a_log_without_the_removed_entries(logs, offset):
    for log in logs:
        expected = copy(log, offset)
        log.truncate(offset)
        assert (log.entries, log.ranges) == (expected.entries, expected.ranges)
        assert log.holds(log.last) == bool(log.entries)


def test_append_rejects_lower_terms_and_offset_gaps():
    log = TransactionLog()
    append(log, 2)
    with pytest.raises(ValueError):
        log.append(LogEntry(LogPosition(1, 2), 0, ()))
    with pytest.raises(ValueError):
        log.append(LogEntry(LogPosition(2, 3), 0, ()))
