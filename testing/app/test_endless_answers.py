"""Tests of a front whose upstreams send bytes without end."""

import asyncio

import pytest

from testing.app.front_world import Answer, Call, FrontWorld

_STREAM = {"model": "base/a1", "token_counts": "10,70"}
_PIECE = b"x" * 65536
# Well below the routes' timeout of 3 s.
_SOON_SECONDS = 2.5


async def send_for_ever(call: Call) -> None:
    """Sends bytes until the front closes the connection."""
    while True:
        await call.send(_PIECE)


async def answer_without_end(call: Call) -> None:
    await call.begin_unframed("application/json")
    await send_for_ever(call)


async def refuse_without_end(call: Call) -> None:
    await call.send_raw_answer("HTTP/1.1 421 X\r\nConnection: close\r\n")
    await send_for_ever(call)


async def begin_an_event_without_end(call: Call) -> None:
    await call.begin_unframed("text/event-stream")
    await call.send(b"id: 1\ndata: ")
    await send_for_ever(call)


async def ask(world: FrontWorld, path: str, **headers: str) -> Answer:
    """Sends a request; fails unless it is answered soon."""
    client = await world.open()
    async with asyncio.timeout(_SOON_SECONDS):
        body = b"b" if headers else b""
        return await client.ask(path, body, **headers)


class TestAnswersWithoutEnd:
    @pytest.mark.parametrize("script", [answer_without_end, refuse_without_end])
    async def test_others_are_served_meanwhile(
        self, world: FrontWorld, script: object
    ) -> None:
        """Guards against a body that takes the memory or time of a front."""
        upstream = await world.add("u1", script)
        answers = [asyncio.create_task(ask(world, "/safe/x")) for _ in range(4)]
        for answer in answers:
            assert (await answer).status in (502, 503)

        async def answer_whole(call: Call) -> None:
            await call.answer(200)

        upstream.script = answer_whole
        await asyncio.sleep(1.0)
        assert (await ask(world, "/safe/x")).status == 200

    async def test_an_event_without_end_ends_the_attempt(
        self, world: FrontWorld
    ) -> None:
        """Guards against an event that is buffered until memory ends."""
        script = begin_an_event_without_end
        await world.add("u1", script, "engine", base__a1=1)
        answer = await ask(world, "/resume/x", **_STREAM)
        assert answer.status == 502
