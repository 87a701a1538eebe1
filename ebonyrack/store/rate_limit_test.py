from ebonyrack.store.rate_limit import RateLimit


def test_a_call_beyond_the_burst_waits_for_a_token():
    limit = RateLimit(10.0)
    waits = [limit.reserve(1.0) for _ in range(22)]
    assert waits[0] == 0.0
    assert 0.0 < waits[-1] <= 0.2
