"""144 transactions of one account that rest, before the pools of 31 proxies."""

from ebonyrack.pooling.pool_slots import PoolSlots

PROXIES = 31
SHARE = 2
RESTING = 144


class FakeConnection:
    account = "rude"
    is_clean = True
    is_idle_in_transaction = True


class Slots(PoolSlots):
    def grant_slots(self):
        pass


async def count_proxies_that_serve_others(asks_by_account):
    pools = [Slots(SHARE) for _ in range(PROXIES)]
    for number in range(RESTING):
        pool = pools[number % PROXIES]
        terms = ("rude", True) if asks_by_account else (None,)
        if pool.has_free_slot(*terms):
            pool.busy[FakeConnection()] = 0.0
    return sum(pool.has_free_slot("buyer", True) for pool in pools)


async def test_resting_transactions_leave_a_connection_for_the_other_accounts():
    assert await count_proxies_that_serve_others(asks_by_account=False) == 0
    assert await count_proxies_that_serve_others(asks_by_account=True) == PROXIES


async def test_account_that_rests_still_runs_single_statements():
    pool = Slots(SHARE)
    for _ in range(SHARE):
        pool.busy[FakeConnection()] = 0.0
    assert not pool.has_free_slot("rude", True)
    assert pool.has_free_slot("rude", False)
