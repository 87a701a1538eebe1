from ebonyrack.service.drain import Drain


async def test_a_second_request_forces_the_shutdown():
    drain = Drain()
    drain.serve()
    drain.request("SIGTERM")
    assert drain.is_draining
    assert not drain.forced.is_set()
    drain.request("SIGTERM")
    assert drain.forced.is_set()


async def test_shutdown_ends_in_the_stopped_state():
    drain = Drain()
    drain.serve()
    drain.request("SIGTERM")
    drain.finish()
    assert drain.state == "stopped"
