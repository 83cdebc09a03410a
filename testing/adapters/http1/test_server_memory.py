"""Tests of what connections hold of clients that send without regard."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from testing.adapters.http1.listener_world import (
    BODY_BYTES,
    LONG_BYTES,
    TIMEOUT_SECONDS,
    VM_BYTES,
    ListenerWorld,
)

_POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
_GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.fixture(params=[VM_BYTES])
async def world(request: pytest.FixtureRequest) -> AsyncIterator[ListenerWorld]:
    """Yields a listener that has been started; its parameter is its memory."""
    started = ListenerWorld(request.param)
    await started.listener.start()
    yield started
    await started.listener.stop()


def post(body: bytes, length: int = 0) -> bytes:
    """Returns a request that may announce more than it brings."""
    announced = b"Content-Length: %d\r\n\r\n" % (length or len(body))
    return _POST + announced + body


class TestBodiesOverTheLimit:
    async def test_an_announced_body_is_refused_before_it_comes(
        self, world: ListenerWorld
    ) -> None:
        head = await world.ask(post(b"", 500 * 2**20))
        assert head.startswith(b"HTTP/1.1 413")

    async def test_a_refusal_arrives_although_the_body_comes(
        self, world: ListenerWorld
    ) -> None:
        """Guards against a reset that discards the refusal."""
        reader, writer = await world.open()
        writer.write(post(b"x" * 200_000, 500 * 2**20))
        await asyncio.sleep(0.2)
        answer = await asyncio.wait_for(reader.read(), TIMEOUT_SECONDS)
        assert answer.startswith(b"HTTP/1.1 413")
        writer.close()

    async def test_a_client_that_sends_on_is_disconnected(
        self, world: ListenerWorld
    ) -> None:
        reader, writer = await world.open()
        writer.write(post(b"", 500 * 2**20))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            with pytest.raises(ConnectionError):
                while True:
                    writer.write(bytes(65536))
                    await writer.drain()
                    await asyncio.sleep(0.01)


class TestTinyChunks:
    async def test_a_body_in_chunks_of_a_byte_is_served(
        self, world: ListenerWorld
    ) -> None:
        body = bytes(range(256)) * 40
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
        reader, writer = await world.open()
        writer.write(_POST + _CHUNKED + chunks + b"0\r\n\r\n" + _GET)
        await reader.readuntil(b"\r\n\r\n")
        assert await reader.readexactly(len(body)) == body
        assert await reader.readuntil(b"\r\n\r\n")
        writer.close()

    async def test_others_are_served_beside_many_such_bodies(
        self, world: ListenerWorld
    ) -> None:
        """Guards against parsing that takes all turns of the event loop."""
        piece = b"1\r\nx\r\n" * 20_000
        writers = []
        for _ in range(10):
            _, writer = await world.open()
            writer.write(_POST + _CHUNKED + piece)
            writers.append(writer)
        await asyncio.sleep(0.01)
        queue = world.listener.parse_queue
        head = await world.ask(_GET)
        assert head.startswith(b"HTTP/1.1 200")
        assert len(queue) > 5
        for writer in writers:
            writer.close()


class TestLongHeads:
    @pytest.mark.parametrize("world", [100 * VM_BYTES], indirect=True)
    async def test_others_do_not_wait_until_all_are_parsed(
        self, world: ListenerWorld
    ) -> None:
        """Guards against heads that take all turns of the event loop."""
        headers = b"".join(b"a%x:\r\n" % number for number in range(2300))
        opened = [await world.open() for _ in range(41)]
        for _, writer in opened[:-1]:
            writer.write(b"GET /long_head HTTP/1.1\r\nHost: a\r\n")
            writer.write(headers + b"\r\n")
        opened[-1][1].write(_GET)
        for reader, writer in opened:
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
        assert len(world.paths) == 41
        assert "/" in world.paths[:5]


class TestRequestsAhead:
    @pytest.mark.parametrize("world", [1e9], indirect=True)
    async def test_they_wait_until_the_client_reads(
        self, world: ListenerWorld
    ) -> None:
        """Guards against answers that pile up for a client."""
        reader, writer = await world.open(4096)
        request = b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n"
        writer.write(request * 3)
        await asyncio.sleep(0.3)
        assert world.requests == 1
        for _ in range(3):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(LONG_BYTES)
        assert world.requests == 3
        writer.close()

    async def test_no_more_is_received_than_a_bound(
        self, world: ListenerWorld
    ) -> None:
        _, writer = await world.open()
        writer.write(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
        sent = 0
        with pytest.raises(TimeoutError):
            while sent < 64 * 2**20:
                writer.write(_GET * 1000)
                sent += len(_GET) * 1000
                await asyncio.wait_for(writer.drain(), 0.5)
        assert world.memory.total < 100_000
        world.released.set()
        writer.transport.abort()

    async def test_all_are_served_in_order(self, world: ListenerWorld) -> None:
        reader, writer = await world.open()
        bodies = [b"%d" % number * 500 for number in range(200)]
        writer.write(b"".join(map(post, bodies)))
        for body in bodies:
            await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(len(body)) == body
        writer.close()


class TestAllTogether:
    async def test_the_largest_unfinished_body_is_refused(
        self, world: ListenerWorld
    ) -> None:
        opened = []
        for size in (300_000, 390_000, 350_000):
            reader, writer = await world.open()
            writer.write(post(b"x" * size, BODY_BYTES))
            opened.append((reader, writer))
            await asyncio.sleep(0.1)
        reader, _ = opened[1]
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
        assert head.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 1" in head.lower()
        assert world.memory.total <= 1_000_000
        # The others go on.
        reader, writer = opened[0]
        writer.write(b"x" * (BODY_BYTES - 300_000))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
        assert head.startswith(b"HTTP/1.1 200")
        for _, writer in opened:
            writer.close()

    async def test_heads_of_many_headers_count(
        self, world: ListenerWorld
    ) -> None:
        """Guards against heads that take many times their bytes in memory."""
        headers = b"".join(b"a%x:\r\n" % number for number in range(2300))
        head = _POST + headers + b"Content-Length: 9\r\n\r\n"
        opened = [await world.open() for _ in range(4)]
        for _, writer in opened:
            writer.write(head)
        await asyncio.sleep(0.2)
        assert 400_000 <= world.memory.total <= 1_000_000
        answers = await asyncio.gather(
            *(asyncio.wait_for(reader.read(), 1.0) for reader, _ in opened),
            return_exceptions=True,
        )
        refusals = [answer for answer in answers if isinstance(answer, bytes)]
        assert len(refusals) == 2
        assert all(a.startswith(b"HTTP/1.1 503") for a in refusals)
        for _, writer in opened:
            writer.close()

    async def test_requests_that_are_complete_do_not_count(
        self, world: ListenerWorld
    ) -> None:
        """Guards against counting each request of a connection for good."""
        request = b"GET / HTTP/1.1\r\nHost: a\r\nA: %s\r\n\r\n" % (b"x" * 800)
        opened = [await world.open() for _ in range(2)]
        for _ in range(900):
            for reader, writer in opened:
                writer.write(request)
                await reader.readuntil(b"\r\n\r\n")
        assert world.memory.total == 0
        for _, writer in opened:
            writer.close()

    async def test_requests_in_progress_count_and_stay(
        self, world: ListenerWorld
    ) -> None:
        """Guards against the end of a request that may have run."""
        body = b"x" * 390_000
        head = b"POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 390000\r\n"
        waiting = [
            asyncio.create_task(world.ask(head + b"\r\n" + body))
            for _ in range(2)
        ]
        await asyncio.sleep(0.2)
        refused = await world.ask(post(b"x" * 300_000, BODY_BYTES))
        assert refused.startswith(b"HTTP/1.1 503")
        assert (await world.ask(_GET)).startswith(b"HTTP/1.1 200")
        world.released.set()
        for answer in await asyncio.gather(*waiting):
            assert answer.startswith(b"HTTP/1.1 200")

    @pytest.mark.parametrize("length", [1, 390_000])
    async def test_a_single_long_answer_to_a_body_is_delivered(
        self, world: ListenerWorld, length: int
    ) -> None:
        """Guards against a request that is counted as another one beside it."""
        reader, writer = await world.open(4096)
        writer.write(b"POST /long HTTP/1.1\r\nHost: a\r\n")
        writer.write(b"Content-Length: %d\r\n\r\n" % length + bytes(length))
        await asyncio.sleep(0.3)
        assert world.requests == 1
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(LONG_BYTES)
        writer.close()

    async def test_a_long_answer_is_given_up_beside_a_large_body(
        self, world: ListenerWorld
    ) -> None:
        head = b"POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 390000\r\n"
        waiting = asyncio.create_task(
            world.ask(head + b"\r\n" + bytes(390_000))
        )
        await asyncio.sleep(0.2)
        reader, writer = await world.open(4096)
        writer.write(b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
        async with asyncio.timeout(TIMEOUT_SECONDS):
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(LONG_BYTES)
        writer.close()
        world.released.set()
        assert (await waiting).startswith(b"HTTP/1.1 200")
