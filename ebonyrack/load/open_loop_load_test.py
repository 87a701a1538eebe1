from ebonyrack.core.clock import now_s
from ebonyrack.load.group_check import check_group
from ebonyrack.load.group_check import create_tables
from ebonyrack.load.open_loop_load import OpenLoopLoad
from ebonyrack.load.record import WorkloadRecord
from ebonyrack.load.workload_options import WorkloadOptions
from ebonyrack.standins.group import StandinGroup

CALLER_COUNT = 2
LONG_S = 60.0


async def test_every_arrival_is_booked_once():
    async with StandinGroup() as group:
        addresses = tuple(spec.address for spec in group.specs())
        await create_tables(addresses)
        # Directly to the primary, which does not support the proxy's keys.
        options = WorkloadOptions(
            (addresses[0],), use_keys=False, token_share=0, run_id="open"
        )
        record = WorkloadRecord()
        async with OpenLoopLoad(options, record, CALLER_COUNT) as arrivals:
            await arrivals.run(200.0, now_s() + 0.2, now_s() + LONG_S)
            await arrivals.finish()
            assert len(arrivals.idle_callers) == len(arrivals.callers) >= CALLER_COUNT
        findings = await check_group(addresses, record, "open")
    assert len(record.acknowledged) == len(arrivals.arrived_at_s) > 0
    assert (findings.rows, findings.lost) == (len(record.acknowledged), 0)
    assert len(record.attempted_at_s) == len(record.acknowledged)
