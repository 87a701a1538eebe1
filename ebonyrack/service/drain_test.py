from ebonyrack.service.drain import Drain


async def test_a_second_request_hurries_the_shutdown():
    drain = Drain()
    drain.serve()
    drain.request("SIGTERM")
    assert drain.is_draining
    assert not drain.forced.is_set()
    drain.request("SIGTERM")
    assert drain.forced.is_set()


async def test_states_follow_one_another():
    drain = Drain()
    drain.serve()
    drain.request("SIGTERM")
    drain.finish()
    assert drain.state == "stopped"
