from ebonyrack.core.clock import now_s
from ebonyrack.load.group_check import check_group
from ebonyrack.load.group_check import create_tables
from ebonyrack.load.open_arrivals import OpenArrivals
from ebonyrack.load.record import WorkloadRecord
from ebonyrack.load.workload_options import WorkloadOptions
from ebonyrack.standins.group import StandinGroup

CALLERS = 2
LONG_S = 60.0


async def test_every_arrival_is_booked_once():
    async with StandinGroup() as group:
        addresses = tuple(spec.address for spec in group.specs())
        await create_tables(addresses)
        # Straight to the primary, which knows no keys of the proxy.
        options = WorkloadOptions(
            (addresses[0],), use_keys=False, token_share=0, run_id="open"
        )
        record = WorkloadRecord()
        async with OpenArrivals(options, record, CALLERS) as arrivals:
            await arrivals.run(200.0, now_s() + 0.2, now_s() + LONG_S)
            await arrivals.finish()
            assert len(arrivals.free) == len(arrivals.callers) >= CALLERS
        findings = await check_group(addresses, record, "open")
    assert len(record.acknowledged) == len(arrivals.arrived_s) > 0
    assert (findings.rows, findings.lost) == (len(record.acknowledged), 0)
    assert len(record.attempted_s) == len(record.acknowledged)
