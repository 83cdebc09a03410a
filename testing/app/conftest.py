"""Fixtures of several modules."""

from collections.abc import AsyncIterator

import pytest

from testing.app.front_world import FrontWorld


@pytest.fixture
async def world() -> AsyncIterator[FrontWorld]:
    """Returns a front without upstreams."""
    made = FrontWorld()
    await made.start()
    yield made
    await made.stop()
