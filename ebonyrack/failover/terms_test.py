import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyrack.failover.bench_test import FakeStore
from ebonyrack.failover.terms import MAXIMUM_SLOTS
from ebonyrack.failover.terms import SLOT_COUNTER_KEY
from ebonyrack.failover.terms import TermSource


async def test_processes_that_start_concurrently_get_different_slots():
    store = FakeStore()
    sources = [TermSource() for _ in range(8)]
    await asyncio.gather(*(source.reserve(store) for source in sources))
    assert len({source.slot for source in sources}) == 8


async def test_lost_reply_wastes_one_slot():
    store = FakeStore()
    store.lost_answers = 1
    first, second = TermSource(), TermSource()
    await first.reserve(store)
    await second.reserve(store)
    assert (first.slot, second.slot) == (2, 3)


async def test_reservation_waits_for_the_store():
    store = FakeStore()
    store.is_down = True
    source = TermSource()
    task = asyncio.create_task(source.reserve(store))
    await asyncio.sleep(0)
    assert source.next_term(0) is None
    store.is_down = False
    await task
    assert source.next_term(0) == source.slot


async def test_exhausted_counter_raises_an_error():
    store = FakeStore()
    await store.compare_and_swap(SLOT_COUNTER_KEY, b"%d" % (MAXIMUM_SLOTS - 1), 0)
    with pytest.raises(OverflowError):
        await TermSource().reserve(store)


@given(
    st.integers(1, MAXIMUM_SLOTS - 1),
    st.integers(1, MAXIMUM_SLOTS - 1),
    st.lists(st.tuples(st.booleans(), st.integers(0, 2**60)), max_size=20),
)
def test_terms_increase_and_are_never_issued_twice(one, other, calls):
    sources = {True: TermSource(), False: TermSource()}
    sources[True].slot, sources[False].slot = one, other
    issued = {True: [], False: []}
    for which, above in calls:
        term = sources[which].next_term(above)
        assert term > above
        issued[which].append(term)
    for terms in issued.values():
        assert terms == sorted(set(terms))
    if one != other:
        assert not set(issued[True]) & set(issued[False])
