"""Tests of what a listener does about clients that leave or are refused."""

import asyncio
import time
from collections.abc import AsyncIterator

import pytest

from ridgesill.adapters.http1.server import HttpListener
from ridgesill.core.serving.routes import ClientLimits
from testing.adapters.http1.listener_world import ListenerWorld

_TIMEOUT_SECONDS = 5.0
_CANCEL_SECONDS = 1.0
_GET = b"GET /wait HTTP/1.1\r\nHost: a\r\n"


async def leave_during(world: ListenerWorld, data: bytes) -> None:
    """Sends a request, and disconnects once it has begun."""
    _, writer = await world.open()
    writer.write(data)
    await asyncio.wait_for(world.started.wait(), _TIMEOUT_SECONDS)
    writer.close()
    await asyncio.wait_for(world.cancelled.wait(), _CANCEL_SECONDS)


@pytest.fixture
async def world() -> AsyncIterator[ListenerWorld]:
    """Yields a listener that has been started."""
    made = ListenerWorld()
    await made.listener.start()
    yield made
    await made.listener.stop()


class TestClientsThatLeave:
    """Guards against work for clients that have gone.

    A connection that isn't received from doesn't notice that its client left.
    """

    async def test_a_short_request_is_cancelled(
        self, world: ListenerWorld
    ) -> None:
        await leave_during(world, _GET + b"\r\n")

    async def test_one_with_a_long_head_is_cancelled(
        self, world: ListenerWorld
    ) -> None:
        await leave_during(world, _GET + b"A: %s\r\n\r\n" % (b"y" * 5_000))

    async def test_one_whose_body_arrives_with_its_head_is_cancelled(
        self, world: ListenerWorld
    ) -> None:
        body = b"x" * 5_000
        await leave_during(
            world, _GET + b"Content-Length: %d\r\n\r\n" % len(body) + body
        )

    async def test_one_sent_behind_another_is_cancelled(
        self, world: ListenerWorld
    ) -> None:
        await leave_during(
            world,
            b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
            + _GET
            + b"Content-Length: 5000\r\n\r\n"
            + b"x" * 5_000,
        )

    async def test_one_in_many_chunks_is_cancelled(
        self, world: ListenerWorld
    ) -> None:
        await leave_during(
            world,
            _GET
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * 200
            + b"0\r\n\r\n",
        )


class TestRefusedBodies:
    async def test_a_refused_body_no_longer_counts(
        self, world: ListenerWorld
    ) -> None:
        """Guards against requests refused for memory that nobody holds."""
        reader, writer = await world.open()
        writer.write(_GET + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(7):
            writer.write(b"ea60\r\n" + bytes(60_000) + b"\r\n")
            await writer.drain()
        head = await asyncio.wait_for(
            reader.readuntil(b"\r\n\r\n"), _TIMEOUT_SECONDS
        )
        assert head.startswith(b"HTTP/1.1 413")
        assert world.memory.total == 0
        writer.close()


class SlowParser:
    """A connection that has much to parse, again and again.

    Args:
        listener: the listener that it competes for.
        turns: how often it has something to parse.
    """

    def __init__(self, listener: HttpListener, turns: int) -> None:
        self._queue = listener.parse_queue
        self.turns_left = turns

    def parse_more(self) -> None:
        """Takes about as long as a head of 2300 headers."""
        time.sleep(0.007)
        self.turns_left -= 1
        if self.turns_left:
            self._queue.add(self)


class TestTurns:
    """Guards against harm to usual requests beside many long heads."""

    async def _count_turns(self, world: ListenerWorld, sent: bytes) -> int:
        """Returns how many turns others take before a request is answered."""
        parsers = [SlowParser(world.listener, 3) for _ in range(100)]
        reader, writer = await world.open()
        for parser in parsers:
            world.listener.parse_queue.add(parser)
        writer.write(sent)
        head = await asyncio.wait_for(
            reader.readuntil(b"\r\n\r\n"), _TIMEOUT_SECONDS
        )
        taken = sum(3 - parser.turns_left for parser in parsers)
        for parser in parsers:
            parser.turns_left = 1
        writer.close()
        assert head.startswith(b"HTTP/1.1 200")
        return taken

    async def test_a_request_without_a_body_does_not_wait(
        self, world: ListenerWorld
    ) -> None:
        turns = await self._count_turns(
            world, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        )
        assert turns < 50

    async def test_one_with_a_usual_head_and_a_body_does_not_wait(
        self, world: ListenerWorld
    ) -> None:
        post = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n"
        assert await self._count_turns(world, post + b"x" * 5_000) < 50

    async def test_a_head_that_waits_for_its_turn_is_not_late(
        self, world: ListenerWorld
    ) -> None:
        """Guards against a 408 for a head that has arrived whole."""
        world.listener.limits = ClientLimits(16_384, 400_000, 0.3, 5.0)
        head = b"GET / HTTP/1.1\r\nHost: a\r\nA: %s\r\n\r\n" % (b"y" * 5_000)
        assert await self._count_turns(world, head) >= 100
