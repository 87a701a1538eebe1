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


async def test_component_is_stopped_after_an_error_that_propagates():
    recorder = Recorder()
    with pytest.raises(ZeroDivisionError):
        async with recorder as entered:
            assert entered is recorder
            assert recorder.steps == ["start"]
            raise ZeroDivisionError
    assert recorder.steps == ["start", "stop"]


async def test_component_must_implement_stop():
    with pytest.raises(NotImplementedError):
        async with Component():
            pass
