import pytest

from ebonyrack.core.component import Component


class Recorder(Component):
    __slots__ = ("steps",)

    def __init__(self):
        self.steps = []

    async def start(self):
        self.steps.append("start")

    async def stop(self):
        self.steps.append("stop")


async def test_an_owner_starts_and_stops_and_hides_no_error():
    recorder = Recorder()
    with pytest.raises(ZeroDivisionError):
        async with recorder as entered:
            assert entered is recorder
            assert recorder.steps == ["start"]
            raise ZeroDivisionError
    assert recorder.steps == ["start", "stop"]


async def test_an_owner_must_say_how_it_stops():
    with pytest.raises(NotImplementedError):
        async with Component():
            pass
