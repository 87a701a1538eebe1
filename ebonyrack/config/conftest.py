"""Proxies that run the control plane only."""

from collections.abc import AsyncIterator

import pytest

from ebonyrack.standins.control_plane import Fleet


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    """Return the platform and no proxies yet."""
    async with Fleet() as made:
        yield made
