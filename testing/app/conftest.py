"""Fixtures that several test modules use."""

from collections.abc import AsyncIterator

import pytest

from testing.app.front_world import FrontWorld


@pytest.fixture
async def world() -> AsyncIterator[FrontWorld]:
    """Yields a running front without upstreams; stops it afterwards."""
    front = FrontWorld()
    await front.start()
    yield front
    await front.stop()
