from ebonyrack.store.backoff import Backoff


def test_backoff_grows_with_jitter_and_can_be_reset():
    backoff = Backoff(1.0, 4.0)
    delays = [backoff.choose_delay() for _ in range(5)]
    bounds = [1.0, 2.0, 4.0, 4.0, 4.0]
    for delay, bound in zip(delays, bounds, strict=True):
        assert bound / 2 <= delay <= bound
    backoff.reset()
    assert backoff.choose_delay() <= 1.0
