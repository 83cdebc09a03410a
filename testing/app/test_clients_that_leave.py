"""Tests of what a front does for clients that have left."""

import asyncio

import pytest

from testing.app.front_world import Call, FrontWorld


class TestClientsThatLeave:
    """Guards against engines that go on for clients that have gone."""

    @pytest.mark.parametrize(
        ("body_bytes", "header_bytes"), [(1, 1), (5_000, 1), (1, 5_000)]
    )
    async def test_the_upstream_s_work_ends(
        self, world: FrontWorld, body_bytes: int, header_bytes: int
    ) -> None:
        async def hang(call: Call) -> None:
            await call.wait_closed()

        upstream = await world.add("u1", hang)
        client = await world.open()
        await client.send(
            "/unsafe/x", b"b" * body_bytes, padding="y" * header_bytes
        )
        await asyncio.sleep(0.1)
        left_at = asyncio.get_running_loop().time()
        client.close()
        await asyncio.sleep(0.5)
        assert 0 < upstream.calls[0].closed_at - left_at < 0.5
        assert world.front.in_progress == 0
