"""Fixtures with proxies that run only the control plane."""

from collections.abc import AsyncIterator

import pytest

from ebonyrack.standins.control_plane import Fleet


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    """Return a started platform without any proxies."""
    async with Fleet() as made:
        yield made
