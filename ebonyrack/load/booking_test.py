import psycopg
import pytest

from ebonyrack.load.attempt import RequestOutcome
from ebonyrack.load.attempt import classify_error
from ebonyrack.load.booking import run_booking
from ebonyrack.load.bootstrap import BootstrapError
from ebonyrack.load.bootstrap import put_document
from ebonyrack.load.caller import BookingCaller
from ebonyrack.load.group_check import check_group
from ebonyrack.load.group_check import connect_to_primary
from ebonyrack.load.group_check import create_tables
from ebonyrack.load.record import WorkloadRecord
from ebonyrack.load.workload_options import WorkloadOptions
from ebonyrack.standins.group import StandinGroup
from ebonyrack.standins.platform import StandinPlatform


def addresses(group):
    return tuple(spec.address for spec in group.specs())


async def test_workload_on_a_direct_connection_to_the_primary_is_correct():
    async with StandinGroup() as group:
        options = WorkloadOptions(proxies=(group["up-1"].address,), use_keys=False)
        result = await run_booking(addresses(group), options, 4, 0.3)
        assert result.is_correct, result.summarize()
        assert result.record.acknowledged and result.record.reads
        assert result.findings.rows == len(result.record.acknowledged)


async def test_reads_from_a_lagging_replica_count_as_stale():
    async with StandinGroup() as group:
        await create_tables(addresses(group))
        await group["up-2"].applied.wait_for(group["up-1"].log.last, 5)
        group.set_lag(60.0)
        record = WorkloadRecord()
        proxies = (group["up-1"].address, group["up-2"].address)
        caller = BookingCaller(0, WorkloadOptions(proxies), record)
        assert await caller.attempt_reserve(proxies[0], "key", 1, True) is None
        await caller.read_once(proxies[1], "key", 0.0)
        await caller.read_once(proxies[0], "key", 0.0)
        assert (record.reads, record.stale_reads) == (2, 1)
        await caller.connections.close()


async def test_check_finds_lost_doubled_and_wrongly_refused_writes():
    async with StandinGroup() as group:
        await create_tables(addresses(group))
        async with await connect_to_primary(addresses(group)) as connection:
            for slot, key in ((1, "r-1"), (1, "r-1"), (2, "r-2"), (9, "other")):
                await connection.execute(
                    "INSERT INTO reservations (slot, request) VALUES (%s, %s)",
                    (slot, key),
                )
        record = WorkloadRecord(acknowledged={"r-1": 1, "r-3": 3}, refused={"r-2"})
        findings = await check_group(addresses(group), record, "r")
        assert findings.rows == 3
        assert (findings.lost, findings.doubled) == (1, 1)
        assert findings.untrue_refusals == 1


@pytest.mark.parametrize(
    "is_sent, outcome",
    [(True, RequestOutcome.UNKNOWN), (False, RequestOutcome.REFUSED)],
)
def test_outcome_of_a_broken_connection_depends_on_whether_the_request_was_sent(
    is_sent, outcome
):
    failure = classify_error(psycopg.OperationalError("gone"), is_sent)
    assert failure.outcome is outcome


def test_longest_gap_is_limited_to_the_time_around_the_fault():
    record = WorkloadRecord(acknowledged_at_s=[0.0, 5.0, 5.1, 6.0, 6.1, 60.0])
    assert record.find_longest_gap_s() == pytest.approx(53.9)
    assert record.find_longest_gap_s(5.05) == pytest.approx(53.9)
    assert record.find_longest_gap_s(5.05, window_s=0.5) == pytest.approx(0.9)


async def test_first_document_is_validated_and_written_only_once():
    async with StandinGroup() as group, StandinPlatform() as platform:
        specs = " ".join(f"{spec.name}={spec.address}@dc-1" for spec in group.specs())
        text = f"[group booking]\nowner = db\nupstreams = {specs}\n"
        with pytest.raises(BootstrapError, match="owner"):
            await put_document(platform.address, "ebonyrack", "[group booking]\n")
        await put_document(platform.address, "ebonyrack", text)
        with pytest.raises(BootstrapError, match="already"):
            await put_document(platform.address, "ebonyrack", text)
